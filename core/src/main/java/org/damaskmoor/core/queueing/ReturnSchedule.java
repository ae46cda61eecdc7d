package org.damaskmoor.core.queueing;

/**
 * Spreads the return of refused callers over the time in which the queue empties: each is promised
 * the next free slot.
 *
 * <p>Load pattern: many calls that are refused within a few milliseconds. If all were told the same
 * time, they would return together and be refused together.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class ReturnSchedule {
    /** Callers honour Retry-After up to a third of the time that they have left. */
    private static final double MAX_REMAINING_FRACTION = 1.0 / 3;

    /** Entries vary Retry-After by up to this factor. */
    private static final double MAX_ENTRY_JITTER = 1.25;

    /** Share of a range that lies between successive values, so that they spread evenly. */
    private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_749_895;

    private static final long MIN_MILLISECONDS = 50;
    private static final long MAX_MILLISECONDS = 3000;

    private double lastSlotAt = Double.NEGATIVE_INFINITY;
    private double position;

    /**
     * Returns the time after which a refused caller is to return.
     *
     * <p>When more callers return than slots become free until the queue is empty, or within the
     * time that a caller waits, they are spread evenly over this time.
     *
     * @param untilEmpty expected time until the calls before this one have started
     * @param interval mean time between two slots
     * @param remaining time left until the call's deadline
     */
    public long promise(double untilEmpty, double interval, double remaining, long now) {
        double longest =
                Math.min(MAX_MILLISECONDS, remaining * MAX_REMAINING_FRACTION) / MAX_ENTRY_JITTER;
        double latest = Math.max(MIN_MILLISECONDS, Math.min(longest, untilEmpty));
        double earliest = Math.min(latest, Math.max(MIN_MILLISECONDS, interval));
        double slot = Math.max(now + earliest, lastSlotAt + interval);
        if (slot <= now + latest) {
            lastSlotAt = slot;
            return Math.round(slot - now);
        }
        position = (position + GOLDEN_RATIO_FRACTION) % 1;
        return Math.round(earliest + position * (latest - earliest));
    }
}
