package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Exponentially weighted fraction of recent attempts at one target that had a given outcome. Decays
 * towards 0 with time.
 *
 * <p>Invariant: between 0 and 1. Not thread-safe.
 */
final class DecayingRate {
    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final double NEGLIGIBLE = 0.001;
    private static final double LOG_OF_TWO = Math.log(2);

    private double rate;
    private long changedAtNanoseconds;

    /** Records an ended attempt; {@code occurred} is whether it had the counted outcome. */
    void add(boolean occurred, long now) {
        double current = at(now);
        rate = current + SAMPLE_WEIGHT * ((occurred ? 1 : 0) - current);
        changedAtNanoseconds = now;
    }

    double at(long now) {
        if (rate < NEGLIGIBLE) {
            return 0;
        }
        double age = Math.max(0, now - changedAtNanoseconds);
        return rate * Math.exp(-age / HALF_LIFE_NANOSECONDS * LOG_OF_TWO);
    }
}
