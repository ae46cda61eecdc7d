package org.damaskmoor.core.accounting;

/** How a request ended, as the service level counts it. */
public enum RequestOutcome {
    /** Answered whole within the latency objective. */
    ANSWERED_IN_TIME,
    /** Answered whole, but past the latency objective. */
    LATE,
    /** Refused; it did not run. */
    REFUSED,
    /** Handed over and not answered: whether it ran is unknown. */
    UNKNOWN,
    /** Answered by the upstream with a server error. */
    FAILED
}
