package org.damaskmoor.bench.verification;

/**
 * One broken promise. Immutable.
 *
 * @param kind which promise
 * @param key the request
 * @param detail what was seen
 */
public record Violation(Kind kind, String key, String detail) {
    /** The promises that the ledgers can prove broken. */
    public enum Kind {
        /** A non-idempotent request ran more than once. */
        RAN_TWICE,
        /** A send was refused as not run and ran. */
        FALSE_NOT_RUN,
        /** An answer was another request's or not whole. */
        CROSSED_ANSWER,
        /** A booking was answered as done and no upstream ran it. */
        ANSWERED_WITHOUT_RUN,
        /** The refusals accounted for are not those that a caller was told, for one reason. */
        REFUSALS_DIFFER
    }
}
