package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Moving averages over the load reports of one region: the estimate for a target without a fresh
 * report.
 *
 * <p>Falling back to the mean instead of zero keeps a target from looking idle because its last
 * report is old. Not thread-safe.
 */
final class RegionAverages {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double INITIAL_LATENCY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

    private double occupancyOfOthers;
    private double latencyNanoseconds = INITIAL_LATENCY_NANOSECONDS;
    private boolean latencyKnown;

    /** Mean load from other entry nodes, as a fraction of a target's limit. */
    double occupancyOfOthers() {
        return occupancyOfOthers;
    }

    /** Mean service time. */
    double latencyNanoseconds() {
        return latencyNanoseconds;
    }

    void addSample(double occupancy, double latency) {
        occupancyOfOthers += SAMPLE_WEIGHT * (occupancy - occupancyOfOthers);
        if (latency <= 0) {
            return;
        }
        latencyNanoseconds += (latencyKnown ? SAMPLE_WEIGHT : 1) * (latency - latencyNanoseconds);
        latencyKnown = true;
    }

    /** Replaces the averages with the values of a region summary. */
    void replace(double occupancy, double latency) {
        occupancyOfOthers = occupancy;
        if (latency > 0) {
            latencyNanoseconds = latency;
            latencyKnown = true;
        }
    }
}
