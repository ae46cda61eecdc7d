package org.damaskmoor.core.atmostonce;

/**
 * State of a request at one incarnation of its target. Immutable and thread-safe.
 *
 * <p>Invariant: {@link #REFUSED} and {@link #SEALED} are reached from {@link #QUEUED} only, so a
 * request in one of them has not run here; they are final, so it never will.
 */
public enum CallState {
    /** Accepted, not yet handed to the upstream. */
    QUEUED,
    /** Handed to the upstream; it may be running. */
    HANDED_OVER,
    /** The upstream answered. */
    ANSWERED,
    /** Handed over without a complete answer: whether it ran is unknown. */
    FAILED,
    /** Sealed by its entry node before it was handed over. */
    SEALED,
    /** Refused by the target before it was handed over. */
    REFUSED;

    /** Returns whether no later state can follow. */
    public boolean isFinal() {
        return this != QUEUED && this != HANDED_OVER;
    }

    /** Returns whether the request has not run and never will. */
    public boolean isNotRun() {
        return this == SEALED || this == REFUSED;
    }
}
