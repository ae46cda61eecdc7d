package org.damaskmoor.bench.verification;

/**
 * A violated guarantee. Immutable.
 *
 * @param kind which guarantee
 * @param key the idempotency key of the request, or caller and reason of refusals
 * @param detail the observation
 */
public record Violation(Kind kind, String key, String detail) {
    /** The violations that the ledgers can prove. */
    public enum Kind {
        /** A non-idempotent request ran more than once. */
        RAN_TWICE,
        /** A send was refused as not run but ran. */
        FALSE_NOT_RUN,
        /** An answer belonged to another request or was incomplete. */
        CROSSED_ANSWER,
        /** A booking was answered with success but no upstream ran it. */
        ANSWERED_WITHOUT_RUN,
        /** The accounted refusals differ from those that a caller received, for one reason. */
        REFUSALS_DIFFER
    }
}
