package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * The fraction of its normal traffic that an ejected target still receives. Each ejection halves
 * the share; it recovers exponentially with time and grows with each success.
 *
 * <p>Invariant: between {@link #MIN_SHARE} and 1. Not thread-safe.
 */
final class TrafficShare {
    /** Enough traffic to detect that the target has recovered. */
    static final double MIN_SHARE = 1.0 / 64;

    private static final double RECOVERY_DOUBLING_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);
    private static final double GROWTH_PER_SUCCESS = 1.2;

    private double share = 1;
    private long changedAtNanoseconds;

    double at(long now) {
        if (share >= 1) {
            return 1;
        }
        double age = Math.max(0, now - changedAtNanoseconds);
        return Math.min(1, share * Math.pow(2, age / RECOVERY_DOUBLING_NANOSECONDS));
    }

    /** Halves the share, but reduces it by no more than {@code allowance}. */
    void reduce(double allowance, long now) {
        double current = at(now);
        double reduced = Math.max(MIN_SHARE, current / 2);
        set(Math.min(current, Math.max(reduced, current - Math.max(0, allowance))), now);
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
