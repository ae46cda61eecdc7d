package org.damaskmoor.core.atmostonce;

/** The step at which the outcome of a request became unknown. Immutable and thread-safe. */
public enum UnknownOutcomeStep {
    /** The target handed it over and got no whole answer. */
    UPSTREAM("upstream"),
    /** The target did not tell whether it sealed the request. */
    SEAL("seal"),
    /** The target restarted; nothing is known of its former incarnation. */
    TARGET_RESTARTED("target-restarted"),
    /** The caller's deadline passed while the request may be running. */
    DEADLINE("deadline");

    private final String wireName;

    UnknownOutcomeStep(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name as callers see it. */
    public String wireName() {
        return wireName;
    }
}
