package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * What is expected of a target of one region of which nothing fresh is known: the mean of what was
 * heard of the others.
 *
 * <p>Falling back to the mean, not to zero, keeps a target from looking idle because nobody has
 * heard of it for a while. Not thread-safe.
 */
final class RegionAverages {
    private static final double NEWS_WEIGHT = 0.05;
    private static final double FIRST_LATENCY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

    private double occupancyOfOthers;
    private double latencyNanoseconds = FIRST_LATENCY_NANOSECONDS;
    private boolean latencyHeard;

    /** Load that other entry nodes cause, as a part of a target's limit. */
    double occupancyOfOthers() {
        return occupancyOfOthers;
    }

    /** Service time. */
    double latencyNanoseconds() {
        return latencyNanoseconds;
    }

    void addSample(double occupancy, double latency) {
        occupancyOfOthers += NEWS_WEIGHT * (occupancy - occupancyOfOthers);
        if (latency <= 0) {
            return;
        }
        latencyNanoseconds += (latencyHeard ? NEWS_WEIGHT : 1) * (latency - latencyNanoseconds);
        latencyHeard = true;
    }

    /** Takes over what a region's summary says. */
    void replace(double occupancy, double latency) {
        occupancyOfOthers = occupancy;
        if (latency > 0) {
            latencyNanoseconds = latency;
            latencyHeard = true;
        }
    }
}
