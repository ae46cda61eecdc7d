package org.damaskmoor.core.atmostonce;

/** The step at which the outcome of a request became unknown. Immutable and thread-safe. */
public enum UnknownOutcomeStep {
    /** The target handed the request over and received no complete answer. */
    UPSTREAM("upstream"),
    /** The target did not confirm whether it sealed the request. */
    SEAL("seal"),
    /** The target restarted, which lost its previous incarnation's ledger. */
    TARGET_RESTARTED("target-restarted"),
    /** The caller's deadline passed while the request may have been running. */
    DEADLINE("deadline");

    private final String wireName;

    UnknownOutcomeStep(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name that callers receive. */
    public String wireName() {
        return wireName;
    }
}
