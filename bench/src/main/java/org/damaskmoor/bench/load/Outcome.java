package org.damaskmoor.bench.load;

/** What a caller was told about one send of a request. */
public enum Outcome {
    /** The upstream's answer came back, whatever its status. */
    ANSWERED,
    /** Refused as not run. */
    REFUSED,
    /** Told that it is unknown whether the request ran. */
    UNKNOWN,
    /** No answer at all: the connection failed or the caller gave up. */
    TRANSPORT_ERROR
}
