package org.damaskmoor.core.atmostonce.internal;

import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.TargetId;

/**
 * State of one attempt at a request, as known to its entry node.
 *
 * <p>Invariant: {@link State#NOT_RUN} is final, because a target never revokes a refusal or a seal.
 * Not thread-safe.
 */
final class Attempt {
    /** What the entry node knows about the attempt. */
    enum State {
        /** Sent, without a response so far. */
        SENT,
        /** Recorded in the target's ledger. */
        ACCEPTED,
        /** The target was asked to seal it. */
        SEALING,
        /** The target could no longer seal it; its outcome follows. */
        HANDED_OVER,
        /** The complete answer arrived. */
        ANSWERED,
        /** Proved not to have run. */
        NOT_RUN,
        /** The outcome is no longer awaited; it may have run. */
        UNKNOWN
    }

    final AttemptId id;
    final TargetId target;
    State state = State.SENT;
    UnknownOutcomeStep unknownStep = UnknownOutcomeStep.DEADLINE;

    Attempt(AttemptId id, TargetId target) {
        this.id = id;
        this.target = target;
    }

    /** Returns whether the outcome is still awaited. */
    boolean isOpen() {
        return switch (state) {
            case SENT, ACCEPTED, SEALING, HANDED_OVER -> true;
            case ANSWERED, NOT_RUN, UNKNOWN -> false;
        };
    }

    boolean isNotRun() {
        return state == State.NOT_RUN;
    }

    void markUnknown(UnknownOutcomeStep step) {
        state = State.UNKNOWN;
        unknownStep = step;
    }
}
