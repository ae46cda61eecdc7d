package org.damaskmoor.bench.load;

/** Outcome of one send of a request, as reported to the caller. */
public enum Outcome {
    /** The upstream's answer arrived, with any status. */
    ANSWERED,
    /** Refused, reported as not run. */
    REFUSED,
    /** Reported as unknown whether the request ran. */
    UNKNOWN,
    /** No answer: the connection failed or the caller timed out. */
    TRANSPORT_ERROR
}
