package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.UpstreamState;

/** Puts together what a target tells of its load. Confined to the event loop. */
final class TargetLoadReporter {
    private static final double PERCENT = 100;

    private final UpstreamTracker register;
    private final AdmissionQueue<TargetCall> room;
    private boolean stopping;

    TargetLoadReporter(UpstreamTracker register, AdmissionQueue<TargetCall> room) {
        this.register = register;
        this.room = room;
    }

    /** The node stops, and its upstream takes no new calls over it. */
    void markStopping() {
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    TargetLoad load(SlowdownDetector slowness, long now) {
        TargetLoad.Builder load =
                TargetLoad.newBuilder()
                        .setRunning(room.running())
                        .setWaiting(room.waiting())
                        .setLimit(room.limit())
                        .setState(state());
        if (slowness.hasReading()) {
            load.setSlownessPercent((int) Math.round(slowness.lastReading() * PERCENT))
                    .setSteadySlownessPercent((int) Math.round(slowness.baseline() * PERCENT))
                    .setSlownessAgeMilliseconds(
                            (int) Math.min(Integer.MAX_VALUE, slowness.readingAge(now)));
        }
        return load.build();
    }

    private UpstreamState state() {
        if (register.current().isEmpty() || register.isDown()) {
            return UpstreamState.ABSENT;
        }
        return stopping || register.isLeaving() ? UpstreamState.LEAVING : UpstreamState.SERVING;
    }
}
