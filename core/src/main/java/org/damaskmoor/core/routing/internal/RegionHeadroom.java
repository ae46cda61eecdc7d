package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Detects whether the local region can still carry this service's load. Traffic to other regions
 * uses the link that is billed by volume, so it starts only at full occupancy; it stops well below
 * that, and the hysteresis prevents flapping.
 *
 * <p>Not thread-safe.
 */
final class RegionHeadroom {
    private static final double EXHAUSTED_AT_OCCUPANCY = 1.0;
    private static final double RESTORED_BELOW_OCCUPANCY = 0.75;
    private static final long INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

    private boolean exhausted;
    private boolean computed;
    private long computedAtNanoseconds;

    boolean isExhausted() {
        return exhausted;
    }

    /** Recomputes the occupancy, at most once per interval. */
    void refresh(TargetState[] region, int count, long now) {
        if (computed && now - computedAtNanoseconds < INTERVAL_NANOSECONDS) {
            return;
        }
        computed = true;
        computedAtNanoseconds = now;
        double occupancy = occupancy(region, count, now);
        exhausted =
                exhausted
                        ? occupancy >= RESTORED_BELOW_OCCUPANCY
                        : occupancy >= EXHAUSTED_AT_OCCUPANCY;
    }

    /** Forces the next refresh to recompute, because the targets have changed. */
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
