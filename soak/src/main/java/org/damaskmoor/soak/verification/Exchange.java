package org.damaskmoor.soak.verification;

/**
 * A request and its outcome as seen by the caller. Immutable and thread-safe.
 *
 * @param id request id given by the caller
 * @param relay number of the relay that the caller was connected to
 * @param nonIdempotent whether the request may run at most once
 * @param version the configuration version that introduced its route; 0 for a route that every
 *     version has
 * @param sentAt latest time at which the caller sent bytes or the proxy forwarded them to the
 *     relay, in milliseconds
 * @param endedAt when the answer was complete or the connection ended, in milliseconds
 * @param end outcome for the caller
 * @param status HTTP status of the answer; 0 without an answer
 * @param stamp stamp of the upstream's run whose answer this is; empty for an answer of a relay
 * @param own whether the answer of an upstream was complete and belonged to this request
 */
public record Exchange(
        String id,
        int relay,
        boolean nonIdempotent,
        int version,
        long sentAt,
        long endedAt,
        End end,
        int status,
        String stamp,
        boolean own) {
    /** Outcome of a request for its caller. */
    public enum End {
        ANSWERED,
        SAID_NOT_RUN,
        CLOSED,
        /** The connection ended before the request had reached the relay. */
        NEVER_REACHED,
        NO_ANSWER
    }
}
