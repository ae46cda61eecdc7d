package org.damaskmoor.core.queueing;

import java.util.ArrayDeque;

/**
 * Detects transient slowdowns of a VM, which last a fraction of a second while other VMs on the
 * same host take the processor.
 *
 * <p>Work that starts during a slowdown stays slow to its end, so it finishes earlier if it starts
 * after the slowdown. A VM that stays slow is not in a transient slowdown, because waiting would
 * not help.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class SlowdownDetector {
    /** A VM is in a slowdown when it is slower than its recent best by this factor. */
    public static final double SLOWDOWN_FACTOR = 1.7;

    /**
     * Maximum age of a reading that counts as current; an older one does not show the current
     * speed.
     */
    private static final long MAX_FRESH_AGE_MILLISECONDS = 12;

    /** Time window for the VM's best speed. */
    private static final long WINDOW_MILLISECONDS = 2000;

    /** A VM that has been slow for longer than this is not in a transient slowdown. */
    private static final long MAX_SLOWDOWN_MILLISECONDS = 400;

    /** Typical remaining duration of a slowdown. */
    private static final long TYPICAL_SLOWDOWN_MILLISECONDS = 90;

    private record Reading(double slowness, long at) {}

    private final ArrayDeque<Reading> readings = new ArrayDeque<>();
    private double last = 1;
    private long readAt;
    private boolean known;
    private long slowSince;
    private boolean slow;

    /** Records the VM's current service time as a multiple of normal. */
    public void onReading(double slowness, long now) {
        last = slowness;
        readAt = now;
        known = true;
        while (!readings.isEmpty() && readings.peekLast().slowness() >= slowness) {
            readings.removeLast();
        }
        readings.addLast(new Reading(slowness, now));
        while (readings.peekFirst().at() < now - WINDOW_MILLISECONDS) {
            readings.removeFirst();
        }
        boolean slower = slowness >= SLOWDOWN_FACTOR * readings.peekFirst().slowness();
        if (slower && !slow) {
            slowSince = now;
        }
        slow = slower;
    }

    /** Lowest recent service time on the VM, as a multiple of normal. */
    public double baseline() {
        return readings.isEmpty() ? 1 : readings.peekFirst().slowness();
    }

    /** Whether any reading has been recorded. */
    public boolean hasReading() {
        return known;
    }

    /** The slowness of the last reading. */
    public double lastReading() {
        return last;
    }

    /** Age of the last reading. */
    public long readingAge(long now) {
        return now - readAt;
    }

    /** Whether the last reading is current. */
    public boolean isFresh(long now) {
        return known && now - readAt <= MAX_FRESH_AGE_MILLISECONDS;
    }

    /**
     * Returns by how much work finishes later if it starts on this VM now, or after the current
     * slowdown if that is sooner.
     */
    public double delayMilliseconds(double serviceMilliseconds, double expectedSlowness, long now) {
        if (isInSlowdown(now)) {
            return Math.min(
                    TYPICAL_SLOWDOWN_MILLISECONDS, serviceMilliseconds * (last - baseline()));
        }
        return serviceMilliseconds * Math.max(0, last - Math.max(1, expectedSlowness));
    }

    /** Whether the VM is in a transient slowdown. */
    public boolean isInSlowdown(long now) {
        return slow && now - slowSince < MAX_SLOWDOWN_MILLISECONDS;
    }
}
