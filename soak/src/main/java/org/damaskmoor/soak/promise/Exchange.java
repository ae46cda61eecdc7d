package org.damaskmoor.soak.promise;

/**
 * One request and what its caller saw. Immutable and thread-safe.
 *
 * @param id the caller's id of it
 * @param relay number of the relay that the caller was connected to
 * @param nonIdempotent whether it may run at most once
 * @param version the configuration whose route it takes; 0 for a route of all
 * @param sentAt when it had reached the relay as far as that is known, in milliseconds
 * @param endedAt when the answer was whole or the connection ended, in milliseconds
 * @param end how it ended
 * @param status status of the answer; 0 without one
 * @param own whether a successful answer was whole and this request's
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
        boolean own) {
    /** How a request ended for its caller. */
    public enum End {
        ANSWERED,
        SAID_NOT_RUN,
        CLOSED,
        /** The connection ended before the request had reached the relay. */
        NEVER_REACHED,
        NO_ANSWER
    }
}
