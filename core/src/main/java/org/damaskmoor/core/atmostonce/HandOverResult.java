package org.damaskmoor.core.atmostonce;

/** Whether a queued call may be handed to the upstream. Immutable and thread-safe. */
public enum HandOverResult {
    /** The call must be handed over now. */
    RUN,
    /** The deadline passed while the call was queued: it is refused and never runs. */
    DEADLINE_PASSED,
    /** The call is not queued (sealed, refused, cancelled, already handed over or unknown). */
    NOT_QUEUED
}
