package org.damaskmoor.relay.internal.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Sends health checks to the upstream, to learn how slow its VM currently is before calls are
 * started on it.
 *
 * <p>Confined to the event loop. Invariants: one probe at a time, and no more a second than the
 * configured rate; a deferred call is offered once, whether or not the probe gets an answer.
 */
final class SlownessProbe {
    private final UpstreamConnectionPool pool;
    private final TokenBucket rateLimit;
    private final TargetCallbacks callbacks;
    private final Timers timers;
    private final Consumer<TargetCall> offer;
    private final Runnable afterProbe;
    private final UpstreamNotices notices;
    private final SlowdownDetector detector = new SlowdownDetector();
    private final List<TargetCall> deferred = new ArrayList<>();
    private boolean probing;

    /**
     * Creates a probe for an upstream of unknown slowness.
     *
     * @param offer receives deferred calls when the probe has ended
     * @param afterProbe runs after each probe
     * @param notices applies what the upstream says with its answers
     */
    SlownessProbe(
            UpstreamConnectionPool pool,
            TokenBucket rateLimit,
            TargetCallbacks callbacks,
            Timers timers,
            Consumer<TargetCall> offer,
            Runnable afterProbe,
            UpstreamNotices notices) {
        this.pool = pool;
        this.rateLimit = rateLimit;
        this.callbacks = callbacks;
        this.timers = timers;
        this.offer = offer;
        this.afterProbe = afterProbe;
        this.notices = notices;
    }

    /** The slowness readings of the VM. */
    SlowdownDetector slowdownDetector() {
        return detector;
    }

    /**
     * Defers a call until a probe has ended; returns false if no probe is needed or possible now.
     */
    boolean deferUntilProbed(TargetCall call) {
        if (!probeIfStale()) {
            return false;
        }
        deferred.add(call);
        return true;
    }

    /** Probes if the last reading is stale; returns whether calls should wait for the result. */
    boolean probeIfStale() {
        return detector.hasReading() && !detector.isFresh(timers.now()) && probe();
    }

    /** Sends a probe unless one is pending; returns false if none can be sent now. */
    boolean probe() {
        if (probing) {
            return true;
        }
        String path = callbacks.healthPath();
        if (path.isEmpty() || !rateLimit.tryAcquire(timers.now())) {
            return false;
        }
        probing = true;
        Consumer<UpstreamReport> listener = notices.listener();
        pool.checkHealth(path, report -> onProbed(report, listener));
        return true;
    }

    /** Records the load that the upstream reported with an answer. */
    void onLoad(UpstreamLoad load) {
        if (load.slowness() > 0) {
            detector.onReading(load.slowness(), timers.now());
        }
    }

    /** Drops a deferred call that is no longer wanted. */
    void remove(TargetCall call) {
        deferred.remove(call);
    }

    private void onProbed(Optional<UpstreamReport> report, Consumer<UpstreamReport> listener) {
        probing = false;
        report.flatMap(UpstreamReport::load).ifPresent(this::onLoad);
        report.ifPresent(listener);
        List<TargetCall> released = List.copyOf(deferred);
        deferred.clear();
        released.forEach(offer);
        afterProbe.run();
    }
}
