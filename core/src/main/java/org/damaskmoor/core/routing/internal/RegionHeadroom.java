package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Whether the own region can still take this service's load. Opens the paid link late and closes it
 * clearly below the opening point, so that it does not flap.
 *
 * <p>Not thread-safe.
 */
final class RegionHeadroom {
    private static final double GONE_AT_OCCUPANCY = 1.0;
    private static final double BACK_BELOW_OCCUPANCY = 0.75;
    private static final long INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private boolean gone;
    private boolean computed;
    private long computedAtNanoseconds;

    boolean isExhausted() {
        return gone;
    }

    /** Looks again, at most once an interval. */
    void refresh(TargetState[] region, int count, long now) {
        if (computed && now - computedAtNanoseconds < INTERVAL_NANOSECONDS) {
            return;
        }
        computed = true;
        computedAtNanoseconds = now;
        double occupancy = occupancy(region, count, now);
        gone = gone ? occupancy >= BACK_BELOW_OCCUPANCY : occupancy >= GONE_AT_OCCUPANCY;
    }

    /** Forgets when it looked last, because the targets have changed. */
    void invalidate() {
        computed = false;
    }

    private static double occupancy(TargetState[] region, int count, long now) {
        double load = 0;
        double limit = 0;
        for (int i = 0; i < count; i++) {
            TargetState target = region[i];
            if (target.isAvailable(now)) {
                load += target.expectedLoad(now);
                limit += target.limit(now) * target.share(now);
            }
        }
        return limit == 0 ? Double.MAX_VALUE : load / limit;
    }
}
