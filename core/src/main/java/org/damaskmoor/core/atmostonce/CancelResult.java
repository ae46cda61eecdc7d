package org.damaskmoor.core.atmostonce;

/** What a cancellation by the entry node leads to. Immutable and thread-safe. */
public enum CancelResult {
    /** It was queued: it is refused now and never runs. */
    DROPPED,
    /** It is handed over: the upstream may be told to stop, and its outcome is still awaited. */
    RUNNING,
    /** Another request with the same idempotency key waits for its outcome: it goes on. */
    STILL_WANTED,
    /** It has ended already, or is unknown here. */
    NOTHING_TO_DO
}
