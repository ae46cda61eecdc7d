package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.StartPacer;
import org.damaskmoor.core.routetable.ColdStart;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.warmup.WarmUp;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Learns whether the upstream is cold, from its announcements, its answers and failures of calls,
 * and has entries told of each change.
 *
 * <p>Confined to the event loop. Invariant: entries are told when the upstream becomes cold and
 * when it says that it is warm before the time that they were told.
 */
final class UpstreamWarmUp {
    private final WarmUp warmUp;
    private final TargetCallbacks callbacks;
    private final Timers timers;
    private final EventLog log;
    private boolean wasCold;
    private boolean ignoring;

    /** Creates the warm-up of an upstream of which nothing is known. */
    UpstreamWarmUp(TargetCallbacks callbacks, Timers timers, EventLog log) {
        this.callbacks = callbacks;
        this.timers = timers;
        this.log = log;
        this.warmUp = new WarmUp(callbacks::coldStart, timers.now());
    }

    /** Delays the starts of calls while the upstream is cold. */
    StartPacer pacer() {
        return warmUp;
    }

    /** The upstream announced itself, for the first time since it appeared if so stated. */
    void onAnnounced(UpstreamAnnouncement announcement, boolean appeared) {
        if (appeared) {
            warmUp.onAppeared(timers.now());
        }
        onTold(announcement.coldMilliseconds(), "announcement");
        publishChange("announcement");
    }

    /** The upstream reported about itself with an answer. */
    void onReport(UpstreamReport report) {
        if (report.source() != UpstreamReport.Source.REFUSAL) {
            onTold(report.coldMilliseconds(), report.source().name());
            publishChange(report.source().name());
        }
    }

    /**
     * The upstream may have been restarted, which only it can tell. Calls wait for its answer to a
     * health check.
     */
    void onSuspected(SlownessProbe probe, String cause) {
        if (!isLimited()) {
            return;
        }
        warmUp.onSuspected(timers.now());
        if (!probe.probe()) {
            warmUp.onChecked(timers.now());
        }
        publishChange(cause);
    }

    /** A health check ended, with or without an answer. */
    void onChecked() {
        warmUp.onChecked(timers.now());
    }

    private boolean isLimited() {
        return callbacks.coldStart().map(ColdStart::isLimited).orElse(true);
    }

    private void onTold(long remainingMilliseconds, String source) {
        if (remainingMilliseconds == UpstreamAnnouncement.COLD_NOT_TOLD) {
            return;
        }
        boolean believed = warmUp.onTold(remainingMilliseconds, timers.now());
        if (!believed && !ignoring && isLimited()) {
            log.event("upstream-cold-unreadable")
                    .with("source", source)
                    .with("remaining_ms", remainingMilliseconds)
                    .with("assumed_ms", warmUp.remainingMilliseconds(timers.now()))
                    .write();
        }
        ignoring = !believed;
    }

    private void publishChange(String cause) {
        long now = timers.now();
        boolean isCold = warmUp.isCold(now);
        if (isCold == wasCold) {
            return;
        }
        wasCold = isCold;
        log.event(isCold ? "upstream-cold" : "upstream-warm")
                .with("cause", cause)
                .with("told", String.valueOf(warmUp.isTold()))
                .with("remaining_ms", warmUp.remainingMilliseconds(now))
                .with("limit", String.valueOf(warmUp.callsPerSecond()))
                .with("starts_1s", warmUp.recentStarts(now))
                .write();
        callbacks.onUpstreamChanged();
    }

    /** Time for which the upstream remains cold; 0 if it is not, or has no cold limit. */
    long remainingMilliseconds() {
        return warmUp.remainingMilliseconds(timers.now());
    }

    /** Calls a second that may start while the upstream is cold. */
    double callsPerSecond() {
        return warmUp.callsPerSecond();
    }
}
