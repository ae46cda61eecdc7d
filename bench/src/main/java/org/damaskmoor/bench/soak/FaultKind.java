package org.damaskmoor.bench.soak;

/** What may go wrong in a soak. */
public enum FaultKind {
    /** A node is ended at once and started again. */
    KILL_NODE,
    /** A node stands still and runs on as if nothing had been. */
    FREEZE_NODE,
    /** A node is told to stop, ends by itself and is started again. */
    STOP_NODE,
    /** An upstream is ended at once and started again. */
    KILL_UPSTREAM,
    /** An upstream stands still and runs on as if nothing had been. */
    FREEZE_UPSTREAM,
    /** Two data centres of one region don't reach each other. */
    CUT_DATA_CENTRES,
    /** The regions don't reach each other. */
    CUT_REGIONS,
    /** Connections open between two data centres go silent for good; new ones work. */
    SILENCE_DATA_CENTRES,
    /** Connections open between the regions go silent for good; new ones work. */
    SILENCE_REGIONS,
    /** The platform answers 503 without effect. */
    PLATFORM_DOWN,
    /** The platform answers late. */
    PLATFORM_SLOW,
    /** The platform takes writes and closes the connection without an answer. */
    PLATFORM_LOSES_ANSWERS
}
