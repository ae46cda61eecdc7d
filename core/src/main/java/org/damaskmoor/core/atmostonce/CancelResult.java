package org.damaskmoor.core.atmostonce;

/** Result of a cancellation by the entry node. Immutable and thread-safe. */
public enum CancelResult {
    /** The request was queued; it is now refused and never runs. */
    DROPPED,
    /**
     * The request is handed over: the upstream may be asked to stop, and the outcome is still
     * awaited.
     */
    RUNNING,
    /** Another request with the same idempotency key awaits the outcome, so the run continues. */
    STILL_WANTED,
    /** The request has already ended or is unknown here. */
    NOTHING_TO_DO
}
