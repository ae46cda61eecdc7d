package org.damaskmoor.core.queueing;

import java.util.ArrayDeque;

/**
 * Tells whether a VM is slow only for a moment, because others that share it take the processor;
 * answers slowness that comes and goes within a fraction of a second.
 *
 * <p>Work that starts in a slow moment stays slow to its end, so it is better started a moment
 * later. A VM that stays slow is not in a slow moment: waiting would not help.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class SlowdownDetector {
    /** A VM this much slower than it was lately is in a slow moment. */
    public static final double SLOWER_BY = 1.7;

    /** Slowness told longer ago than this says little about this instant. */
    private static final long FRESH_MILLISECONDS = 12;

    /** How far back the VM's best speed is looked for. */
    private static final long MEMORY_MILLISECONDS = 2000;

    /** A VM that has been slow for longer is slow for good. */
    private static final long LONGEST_MOMENT_MILLISECONDS = 400;

    /** Usual wait for the end of a slow moment. */
    private static final long USUAL_WAIT_MILLISECONDS = 90;

    private record Reading(double slowness, long at) {}

    private final ArrayDeque<Reading> readings = new ArrayDeque<>();
    private double last = 1;
    private long toldAt;
    private boolean told;
    private long slowSince;
    private boolean slow;

    /** The VM told how long work takes on it, 1 is as usual. */
    public void onReading(double slowness, long now) {
        last = slowness;
        toldAt = now;
        told = true;
        while (!readings.isEmpty() && readings.peekLast().slowness() >= slowness) {
            readings.removeLast();
        }
        readings.addLast(new Reading(slowness, now));
        while (readings.peekFirst().at() < now - MEMORY_MILLISECONDS) {
            readings.removeFirst();
        }
        boolean slower = slowness >= SLOWER_BY * readings.peekFirst().slowness();
        if (slower && !slow) {
            slowSince = now;
        }
        slow = slower;
    }

    /** How long work took on the VM at its best lately, 1 is as usual. */
    public double baseline() {
        return readings.isEmpty() ? 1 : readings.peekFirst().slowness();
    }

    /** Whether the VM has ever told its slowness. */
    public boolean hasReading() {
        return told;
    }

    /** The slowness that was told last. */
    public double lastReading() {
        return last;
    }

    /** Time since it was told. */
    public long readingAge(long now) {
        return now - toldAt;
    }

    /** Whether what was told last still holds. */
    public boolean isFresh(long now) {
        return told && now - toldAt <= FRESH_MILLISECONDS;
    }

    /** How much later work ends that is started here now, or as soon as that is better. */
    public double delayMilliseconds(double usualMilliseconds, double expectedSlowness, long now) {
        if (isInSlowdown(now)) {
            return Math.min(USUAL_WAIT_MILLISECONDS, usualMilliseconds * (last - baseline()));
        }
        return usualMilliseconds * Math.max(0, last - Math.max(1, expectedSlowness));
    }

    /** Whether the VM is slow now and is expected to be faster in a moment. */
    public boolean isInSlowdown(long now) {
        return slow && now - slowSince < LONGEST_MOMENT_MILLISECONDS;
    }
}
