package org.damaskmoor.core.placement;

/**
 * What a target told of itself at one instant. Immutable and thread-safe.
 *
 * @param running calls that its upstream runs
 * @param waiting calls that wait beside it
 * @param limit calls that its upstream may run at once
 * @param slowness how long work takes there, 1 is as usual
 * @param slownessAgeMilliseconds age of the slowness when it was told
 * @param failureRate part of recent calls that failed
 * @param coldMilliseconds how much longer it is slow after its start
 */
public record LoadSnapshot(
        int running,
        int waiting,
        int limit,
        double slowness,
        long slownessAgeMilliseconds,
        double failureRate,
        long coldMilliseconds) {

    /** A target of which nothing is known but its slots. */
    public static LoadSnapshot unknown(int slots) {
        return new LoadSnapshot(0, 0, Math.max(1, slots), 0, 0, 0, 0);
    }
}
