package org.damaskmoor.bench.soak;

/** The kinds of fault that a soak run can inject. */
public enum FaultKind {
    /** A node is killed and restarted. */
    KILL_NODE,
    /** A node process is suspended and resumed. */
    FREEZE_NODE,
    /** A node is asked to stop, exits by itself and is restarted. */
    STOP_NODE,
    /** An upstream is killed and restarted. */
    KILL_UPSTREAM,
    /** An upstream process is suspended and resumed. */
    FREEZE_UPSTREAM,
    /** Two data centres of one region cannot reach each other. */
    CUT_DATA_CENTRES,
    /** The regions cannot reach each other. */
    CUT_REGIONS,
    /** Open connections between two data centres go silent permanently; new ones work. */
    SILENCE_DATA_CENTRES,
    /** Open connections between the regions go silent permanently; new ones work. */
    SILENCE_REGIONS,
    /** The platform answers 503 without effect. */
    PLATFORM_DOWN,
    /** The platform answers late. */
    PLATFORM_SLOW,
    /** The platform applies writes and closes the connection without an answer. */
    PLATFORM_LOSES_ANSWERS
}
