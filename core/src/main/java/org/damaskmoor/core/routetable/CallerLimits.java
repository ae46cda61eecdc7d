package org.damaskmoor.core.routetable;

/**
 * Size and time limits on callers' connections and requests. Immutable and thread-safe.
 *
 * @param headerBytes maximum size of the request line and the headers
 * @param bodyBytes maximum size of a body
 * @param headerTimeoutMilliseconds maximum time from a request's first byte to the end of its
 *     headers
 * @param idleTimeoutMilliseconds maximum idle time of a keep-alive connection
 */
public record CallerLimits(
        int headerBytes,
        long bodyBytes,
        long headerTimeoutMilliseconds,
        long idleTimeoutMilliseconds) {
    /** Used until the first configuration arrives. */
    public static final CallerLimits UNCONFIGURED =
            new CallerLimits(16 * 1024, 64 * 1024 * 1024, 5000, 30_000);

    public CallerLimits {
        if (headerBytes <= 0
                || bodyBytes <= 0
                || headerTimeoutMilliseconds <= 0
                || idleTimeoutMilliseconds <= 0) {
            throw new IllegalArgumentException("Each caller limit must be positive.");
        }
    }
}
