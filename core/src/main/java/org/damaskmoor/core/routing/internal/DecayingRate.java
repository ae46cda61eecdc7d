package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Share of recent attempts at one target to which something happened, forgotten with time.
 *
 * <p>Invariant: between 0 and 1. Not thread-safe.
 */
final class DecayingRate {
    private static final double NEWS_WEIGHT = 0.2;
    private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final double NEGLIGIBLE = 0.001;
    private static final double LOG_OF_TWO = Math.log(2);

    private double rate;
    private long changedAtNanoseconds;

    /** One more attempt ended; {@code happened} tells whether what is counted happened to it. */
    void add(boolean happened, long now) {
        double current = at(now);
        rate = current + NEWS_WEIGHT * ((happened ? 1 : 0) - current);
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
