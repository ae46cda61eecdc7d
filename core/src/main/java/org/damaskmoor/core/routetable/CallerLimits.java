package org.damaskmoor.core.routetable;

/**
 * Bounds on what a caller may send and how long it may take. Immutable and thread-safe.
 *
 * @param headerBytes longest header, with the request line
 * @param bodyBytes longest body
 * @param headerTimeoutMilliseconds longest time from a request's first byte to the end of its head
 * @param idleTimeoutMilliseconds longest time that a kept connection may be idle
 */
public record CallerLimits(
        int headerBytes,
        long bodyBytes,
        long headerTimeoutMilliseconds,
        long idleTimeoutMilliseconds) {
    /** In force until the first configuration is known. */
    public static final CallerLimits UNCONFIGURED =
            new CallerLimits(16 * 1024, 64 * 1024 * 1024, 5000, 30_000);

    public CallerLimits {
        if (headerBytes <= 0
                || bodyBytes <= 0
                || headerTimeoutMilliseconds <= 0
                || idleTimeoutMilliseconds <= 0) {
            throw new IllegalArgumentException("Each limit of callers must be positive.");
        }
    }
}
