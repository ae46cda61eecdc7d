package org.damaskmoor.core.placement;

/**
 * What a target told of itself at one instant. Immutable and thread-safe.
 *
 * @param running calls that its upstream runs
 * @param waiting calls that wait beside it
 * @param limit calls that its upstream may run at once
 * @param slowness how long work takes there at this moment, 1 is as usual; 0 when untold
 * @param steadySlowness how long work took there at its best lately; 0 when untold
 * @param slownessAgeMilliseconds age of the slowness when it was told
 */
public record LoadSnapshot(
        int running,
        int waiting,
        int limit,
        double slowness,
        double steadySlowness,
        long slownessAgeMilliseconds) {

    /** A target of which nothing is known but its slots. */
    public static LoadSnapshot unknown(int slots) {
        return new LoadSnapshot(0, 0, Math.max(1, slots), 0, 0, 0);
    }
}
