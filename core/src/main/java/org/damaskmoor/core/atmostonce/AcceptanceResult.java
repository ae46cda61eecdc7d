package org.damaskmoor.core.atmostonce;

/**
 * What a target's ledger did with an incoming call. Immutable and thread-safe.
 *
 * <p>{@link #WRONG_INCARNATION} and {@link #TOO_LATE} leave open whether the request ran, so they
 * must not be reported to the entry node as "not run".
 */
public enum AcceptanceResult {
    /** A new request; it is now queued. */
    ACCEPTED,
    /** The request id is already known; the call is not run again. */
    DUPLICATE,
    /** A request with the same idempotency key is already known; both receive its outcome. */
    JOINED,
    /** The entry node sealed the request before the call arrived; it never runs here. */
    SEALED_ALREADY,
    /** The call is addressed to another incarnation of this node; it may have run there. */
    WRONG_INCARNATION,
    /** The ledger is full; the call has not run and never will here. */
    FULL,
    /** The deadline passed in transit; the call has not run and never will here. */
    DEADLINE_PASSED,
    /**
     * The call arrived after its keep-until time: it is not run, but an earlier copy may have run.
     */
    TOO_LATE
}
