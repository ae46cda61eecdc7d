package org.damaskmoor.relay.internal.target;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.queueing.CallPacer;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamNotice;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Applies what the upstream says about itself with its answers, and logs it with the number of
 * calls started meanwhile, so that the log tells whether a request limit was kept.
 *
 * <p>Confined to the event loop. Invariant: a notice changes nothing once another upstream has
 * taken the place of the one that gave it.
 */
final class UpstreamNotices {
    /** Interval of the log lines while a limit is named. */
    private static final long LOG_INTERVAL_MILLISECONDS = 1000;

    /** Time over which the starts of a log line are counted. */
    private static final long WINDOW_MILLISECONDS = 4000;

    /** Silence after which an upstream that named a limit is asked whether it still does. */
    private static final long SILENCE_MILLISECONDS = 1000;

    private final UpstreamTracker tracker;
    private final CallPacer pacer;
    private final UpstreamWarmUp warmUp;
    private final Timers timers;
    private final EventLog log;
    private final Consumer<UpstreamAnnouncement> onLeaving;
    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private UpstreamNotice last = UpstreamNotice.NONE;
    private long loggedAt;
    private long answeredAt;

    /**
     * Creates the notices of an upstream.
     *
     * @param onLeaving runs when the upstream says that it is leaving
     */
    UpstreamNotices(
            UpstreamTracker tracker,
            CallPacer pacer,
            UpstreamWarmUp warmUp,
            Timers timers,
            EventLog log,
            Consumer<UpstreamAnnouncement> onLeaving) {
        this.onLeaving = onLeaving;
        this.tracker = tracker;
        this.pacer = pacer;
        this.warmUp = warmUp;
        this.timers = timers;
        this.log = log;
    }

    /** Returns the listener for the report that answers a request sent now. */
    Consumer<UpstreamReport> listener() {
        Optional<UpstreamAnnouncement> sentTo = tracker.current();
        return report -> {
            if (isCurrent(sentTo)) {
                onReport(report);
                warmUp.onReport(report);
                if (report.notice().leaving()) {
                    onLeaving.accept(sentTo.get());
                }
            }
        };
    }

    private boolean isCurrent(Optional<UpstreamAnnouncement> sentTo) {
        return sentTo.isPresent()
                && tracker.current().isPresent()
                && sentTo.get().isSameIncarnation(tracker.current().get());
    }

    /** Another upstream has taken the place of the former one. */
    void onReplaced() {
        pacer.reset();
        last = UpstreamNotice.NONE;
    }

    /** An entry sent a call with the last limit that it has heard. */
    void onHearsay(double limitPerSecond) {
        if (!pacer.isKnown() && pacer.limitPerSecond().isEmpty()) {
            log.event("upstream-limit-heard").with("limit", limitPerSecond).write();
            pacer.onHearsay(limitPerSecond, timers.now());
        }
    }

    /** A call was handed over to the upstream. */
    void onCallStarted() {
        starts.addLast(timers.now());
        removeOldStarts();
    }

    /** Whether the upstream should be asked if the limit still holds. */
    boolean isLimitInDoubt() {
        return pacer.limitPerSecond().isPresent()
                && timers.now() - answeredAt >= SILENCE_MILLISECONDS;
    }

    private void onReport(UpstreamReport report) {
        UpstreamNotice notice = report.notice();
        if (report.source() == UpstreamReport.Source.REFUSAL && !notice.namesLimit()) {
            // An overloaded upstream may refuse before it looks at its limit.
            return;
        }
        answeredAt = timers.now();
        if (!notice.namesLimit() || notice.requestsPerSecond().isPresent()) {
            pacer.onAnswer(notice.requestsPerSecond(), answeredAt);
        }
        boolean isDue = answeredAt - loggedAt >= LOG_INTERVAL_MILLISECONDS;
        if (!notice.equals(last) || (notice.namesLimit() && isDue)) {
            write(notice, report.source());
        }
        last = notice;
    }

    private void write(UpstreamNotice notice, UpstreamReport.Source source) {
        removeOldStarts();
        String unreadable = notice.namesLimit() ? "unreadable" : "none";
        Object limit =
                notice.requestsPerSecond().isPresent()
                        ? notice.requestsPerSecond().getAsDouble()
                        : unreadable;
        log.event("upstream-notice")
                .with("limit", limit)
                .with("leaving", notice.leaving())
                .with("source", source)
                .with("starts_4s", starts.size())
                .write();
        loggedAt = answeredAt;
    }

    private void removeOldStarts() {
        long oldest = timers.now() - WINDOW_MILLISECONDS;
        while (!starts.isEmpty() && starts.peekFirst() < oldest) {
            starts.removeFirst();
        }
    }
}
