package org.damaskmoor.core.admission;

/** Outcome of a request that was forwarded to the upstream. */
public enum AdmissionOutcome {
    /** The upstream answered without a server error. */
    ANSWERED,
    /** The upstream failed or answered with a server error. */
    FAILED,
    /** The upstream refused it with 503 and "not run". */
    SHED,
    /** The caller stopped waiting. Counts neither for nor against the upstream. */
    CANCELLED
}
