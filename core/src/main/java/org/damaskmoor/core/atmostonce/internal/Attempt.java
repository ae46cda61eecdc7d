package org.damaskmoor.core.atmostonce.internal;

import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.TargetId;

/**
 * One attempt at a request, as its entry node knows it.
 *
 * <p>Invariant: {@link Knowledge#NOT_RUN} is final, because a target never takes back a refusal or
 * a seal. Not thread-safe.
 */
final class Attempt {
    /** What is known of the attempt. */
    enum Knowledge {
        /** Written, no word yet. */
        SENT,
        /** In the target's ledger. */
        ACCEPTED,
        /** The target was asked to seal it. */
        SEALING,
        /** The target could not seal it any more: its outcome follows. */
        HANDED_OVER,
        /** Its whole answer came. */
        ANSWERED,
        /** Proved not to have run. */
        NOT_RUN,
        /** Given up: it may have run. */
        UNKNOWN
    }

    final AttemptId id;
    final TargetId target;
    Knowledge knowledge = Knowledge.SENT;
    UnknownOutcomeStep unknownStep = UnknownOutcomeStep.DEADLINE;

    Attempt(AttemptId id, TargetId target) {
        this.id = id;
        this.target = target;
    }

    /** Whether its outcome is still awaited. */
    boolean isOpen() {
        return switch (knowledge) {
            case SENT, ACCEPTED, SEALING, HANDED_OVER -> true;
            case ANSWERED, NOT_RUN, UNKNOWN -> false;
        };
    }

    boolean isNotRun() {
        return knowledge == Knowledge.NOT_RUN;
    }

    void markUnknown(UnknownOutcomeStep step) {
        knowledge = Knowledge.UNKNOWN;
        unknownStep = step;
    }
}
