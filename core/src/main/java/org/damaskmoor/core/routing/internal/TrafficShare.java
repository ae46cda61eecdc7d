package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * The part of its normal traffic that a failing target still gets. Halved again and again while it
 * fails, doubled with time and with successes.
 *
 * <p>Invariant: between {@link #LEAST} and 1. Not thread-safe.
 */
final class TrafficShare {
    /** Enough to notice that a target works again. */
    static final double LEAST = 1.0 / 64;

    private static final double DOUBLING_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);
    private static final double GROWTH_PER_SUCCESS = 1.2;

    private double share = 1;
    private long changedAtNanoseconds;

    double at(long now) {
        if (share >= 1) {
            return 1;
        }
        double age = Math.max(0, now - changedAtNanoseconds);
        return Math.min(1, share * Math.pow(2, age / DOUBLING_NANOSECONDS));
    }

    /** Halves the share, but takes away no more than {@code allowance}. */
    void reduce(double allowance, long now) {
        double current = at(now);
        double wanted = Math.max(LEAST, current / 2);
        set(Math.min(current, Math.max(wanted, current - Math.max(0, allowance))), now);
    }

    void onSuccess(long now) {
        if (share < 1) {
            set(Math.min(1, at(now) * GROWTH_PER_SUCCESS), now);
        }
    }

    private void set(double value, long now) {
        share = value;
        changedAtNanoseconds = now;
    }
}
