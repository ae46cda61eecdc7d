package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.upstream.UpstreamRegister;
import org.damaskmoor.core.waiting.SlowMoments;
import org.damaskmoor.core.waiting.WaitingRoom;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.UpstreamState;

/** Puts together what a target tells of its load. Confined to the event loop. */
final class LoadGauge {
    private static final double PERCENT = 100;

    private final UpstreamRegister register;
    private final WaitingRoom<TargetCall> room;
    private boolean stopping;

    LoadGauge(UpstreamRegister register, WaitingRoom<TargetCall> room) {
        this.register = register;
        this.room = room;
    }

    /** The node stops, and its upstream takes no new calls over it. */
    void stopping() {
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    TargetLoad load(SlowMoments slowness, long now) {
        TargetLoad.Builder load =
                TargetLoad.newBuilder()
                        .setRunning(room.running())
                        .setWaiting(room.waiting())
                        .setLimit(room.limit())
                        .setState(state());
        if (slowness.isKnown()) {
            load.setSlownessPercent((int) Math.round(slowness.last() * PERCENT))
                    .setSteadySlownessPercent((int) Math.round(slowness.steady() * PERCENT))
                    .setSlownessAgeMilliseconds(
                            (int) Math.min(Integer.MAX_VALUE, slowness.age(now)));
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
