package org.damaskmoor.relay.internal.entry;

import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.relay.internal.fleet.FleetTarget;

/** An attempt at a request that was sent to a target. Confined to the event loop. */
final class SentAttempt {
    final int number;
    final FleetTarget target;
    final TargetId targetId;
    final long sentAt;

    /** Whether the target was told that the call has no better target. */
    final boolean lastChoice;

    private boolean ended;

    SentAttempt(
            int number, FleetTarget target, TargetId targetId, long sentAt, boolean lastChoice) {
        this.number = number;
        this.target = target;
        this.targetId = targetId;
        this.sentAt = sentAt;
        this.lastChoice = lastChoice;
        target.estimate().onSent(sentAt);
    }

    boolean isEnded() {
        return ended;
    }

    /** Removes the attempt from the load estimate of its target; further calls have no effect. */
    void end() {
        if (!ended) {
            ended = true;
            target.estimate().onEnded(sentAt);
        }
    }
}
