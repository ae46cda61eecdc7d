package org.damaskmoor.core.accounting;

/** How a request ended, as counted for the service level. */
public enum RequestOutcome {
    /** Answered completely within the latency objective. */
    ANSWERED_IN_TIME,
    /** Answered completely, but later than the latency objective. */
    LATE,
    /** Refused; it did not run. */
    REFUSED,
    /** Handed over and not answered: whether it ran is unknown. */
    UNKNOWN,
    /** Answered by the upstream with a server error. */
    FAILED
}
