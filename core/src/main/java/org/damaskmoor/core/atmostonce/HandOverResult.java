package org.damaskmoor.core.atmostonce;

/** Whether a queued call may be handed to the upstream. Immutable and thread-safe. */
public enum HandOverResult {
    /** Hand it over now. */
    RUN,
    /** Its deadline passed while it waited: it is refused and never runs. */
    DEADLINE_PASSED,
    /** It is not queued (sealed, refused, cancelled, already handed over or unknown). */
    NOT_QUEUED
}
