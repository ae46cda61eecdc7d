package org.damaskmoor.core.atmostonce;

/**
 * What became of a call that reached its target. Immutable and thread-safe.
 *
 * <p>{@link #WRONG_INCARNATION} and {@link #TOO_LATE} prove nothing; they must not be told to the
 * entry as a truthful refusal.
 */
public enum AcceptanceResult {
    /** New: it is queued now. */
    ACCEPTED,
    /** The same request id came before; it is not run again. */
    DUPLICATE,
    /** Another request with the same idempotency key came before; both get that one's outcome. */
    JOINED,
    /** The entry sealed the request before the call arrived; it never runs here. */
    SEALED_ALREADY,
    /** The call is meant for another incarnation of this node. Proves nothing about that one. */
    WRONG_INCARNATION,
    /** The ledger has no room; the call has not run and never will here. */
    FULL,
    /** Its deadline passed on the way; it has not run and never will here. */
    DEADLINE_PASSED,
    /** It came after its keep-until time: it is not run, but an earlier copy may have run. */
    TOO_LATE
}
