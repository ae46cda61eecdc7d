package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.CallPacer;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.UpstreamState;

/** Builds the load reports of a target. Confined to the event loop. */
final class TargetLoadReporter {
    private static final double PERCENT = 100;

    private final UpstreamTracker tracker;
    private final AdmissionQueue<TargetCall> queue;
    private final CallPacer pacer;
    private final UpstreamWarmUp warmUp;
    private final TargetCallbacks callbacks;
    private boolean stopping;

    TargetLoadReporter(
            UpstreamTracker tracker,
            AdmissionQueue<TargetCall> queue,
            CallPacer pacer,
            UpstreamWarmUp warmUp,
            TargetCallbacks callbacks) {
        this.tracker = tracker;
        this.queue = queue;
        this.pacer = pacer;
        this.warmUp = warmUp;
        this.callbacks = callbacks;
    }

    /** The node is stopping: its upstream is reported as leaving, so that it gets no new calls. */
    void markStopping() {
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    TargetLoad load(SlowdownDetector detector, long now) {
        TargetLoad.Builder load =
                TargetLoad.newBuilder()
                        .setRunning(queue.running())
                        .setWaiting(queue.waiting())
                        .setLimit(queue.limit())
                        .setState(state())
                        .setLimitKnown(pacer.isKnown())
                        .setExporting(callbacks.isExporting());
        pacer.limitPerSecond().ifPresent(load::setLimitPerSecond);
        long coldMilliseconds = warmUp.remainingMilliseconds();
        if (coldMilliseconds > 0) {
            load.setColdRemainingMilliseconds((int) coldMilliseconds)
                    .setColdCallsPerSecond(warmUp.callsPerSecond());
        }
        if (pacer.limitPerSecond().isPresent() || coldMilliseconds > 0) {
            double delay =
                    Math.max(
                            pacer.waitMilliseconds(queue.waiting(), now),
                            warmUp.pacer().waitMilliseconds(queue.waiting(), now));
            load.setStartDelayMilliseconds((int) Math.ceil(delay));
        }
        if (tracker.current().isPresent()) {
            load.setUpstreamDigest(tracker.current().get().incarnationDigest())
                    .setUpstreamLeaving(tracker.isLeaving());
        }
        if (detector.hasReading()) {
            load.setSlownessPercent((int) Math.round(detector.lastReading() * PERCENT))
                    .setSteadySlownessPercent((int) Math.round(detector.baseline() * PERCENT))
                    .setSlownessAgeMilliseconds(
                            (int) Math.min(Integer.MAX_VALUE, detector.readingAge(now)));
        }
        return load.build();
    }

    private UpstreamState state() {
        if (tracker.current().isEmpty() || tracker.isAwaitingHistory() || tracker.isDown()) {
            return UpstreamState.ABSENT;
        }
        return stopping || tracker.isLeaving() || callbacks.isEvacuated()
                ? UpstreamState.LEAVING
                : UpstreamState.SERVING;
    }
}
