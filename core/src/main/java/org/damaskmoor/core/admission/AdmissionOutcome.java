package org.damaskmoor.core.admission;

/** How a request that was handed to the upstream ended. */
public enum AdmissionOutcome {
    /** The upstream answered, and not with a server error. */
    ANSWERED,
    /** The upstream failed, or answered with a server error. */
    FAILED,
    /** The upstream refused it with 503 and "not run". */
    SHED,
    /** The caller no longer waited; says nothing about the upstream. */
    CANCELLED
}
