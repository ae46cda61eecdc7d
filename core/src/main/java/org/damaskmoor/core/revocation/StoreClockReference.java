package org.damaskmoor.core.revocation;

import java.util.Objects;

/**
 * Relates the store's clock to the monotonic clock of this node: the store's clock showed {@code
 * storeTimeMilliseconds} not before this node sent a call.
 *
 * <p>Times are converted to the earliest time that is possible, so that what is proven never
 * appears younger than it is. Immutable and thread-safe.
 *
 * @param sentAt when this node sent the call
 * @param storeTimeMilliseconds the store's time in the response to it
 */
record StoreClockReference(OwnTime sentAt, long storeTimeMilliseconds) {
    /**
     * Greatest difference between the rates of the two clocks: 500 ppm is the limit to which NTP
     * adjusts a clock, and crystals deviate by less than 100 ppm.
     */
    private static final double MAX_DRIFT = 0.0006;

    /** Both clocks are read in whole milliseconds. */
    private static final long ROUNDING_MILLISECONDS = 2;

    StoreClockReference {
        Objects.requireNonNull(sentAt, "sentAt");
    }

    /** Earliest own monotonic time, in milliseconds, at which the store's clock showed a time. */
    long earliest(long storeTime) {
        long elapsed = storeTime - storeTimeMilliseconds;
        long drift = (long) Math.ceil(Math.abs(elapsed) * MAX_DRIFT);
        return sentAt.monotonicMilliseconds() + elapsed - drift - ROUNDING_MILLISECONDS;
    }

    /** Whether the store's clock can't have shown a time yet, so that this reference is wrong. */
    boolean isContradictedBy(long storeTime, OwnTime now) {
        return earliest(storeTime) > now.monotonicMilliseconds() + suspendedMilliseconds(now);
    }

    /** Time for which the VM may have been suspended since the call was sent. */
    long suspendedMilliseconds(OwnTime now) {
        return Math.max(0, clockShiftMilliseconds(now));
    }

    /** How far the time of day has moved ahead of the monotonic clock since the call was sent. */
    long clockShiftMilliseconds(OwnTime now) {
        return now.offsetMilliseconds() - sentAt.offsetMilliseconds();
    }
}
