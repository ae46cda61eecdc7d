package org.damaskmoor.core.placement;

/**
 * A target's load report at one instant. Immutable and thread-safe.
 *
 * @param running calls that the upstream is running
 * @param waiting calls queued in front of the upstream
 * @param limit maximum number of calls that the upstream may run concurrently
 * @param slowness current service time as a multiple of normal; 0 when unknown
 * @param baselineSlowness lowest recent service time as a multiple of normal; 0 when unknown
 * @param slownessAgeMilliseconds age of {@code slowness} at the time of the report
 * @param startIntervalMilliseconds mean time between the starts of two calls that the upstream's
 *     request limit allows; 0 without a limit
 * @param startDelayMilliseconds time for which the request limit or the cold limit delayed a call
 *     at the time of the report
 * @param coldIntervalMilliseconds mean time between the starts of two calls that the upstream
 *     allows while it is cold; 0 if it is not
 * @param coldRemainingMilliseconds time for which the upstream remained cold at the time of the
 *     report
 */
public record LoadSnapshot(
        int running,
        int waiting,
        int limit,
        double slowness,
        double baselineSlowness,
        long slownessAgeMilliseconds,
        double startIntervalMilliseconds,
        double startDelayMilliseconds,
        double coldIntervalMilliseconds,
        long coldRemainingMilliseconds) {

    /** The snapshot of a target of which only the number of slots is known. */
    public static LoadSnapshot unknown(int slots) {
        return new LoadSnapshot(0, 0, Math.max(1, slots), 0, 0, 0, 0, 0, 0, 0);
    }
}
