package org.damaskmoor.core.accounting;

/**
 * Bounds of the latency histogram in request counts: bucket {@code i} holds requests of at most
 * {@code upperMilliseconds(i)}, and the last bucket those above every bound. Stateless and
 * thread-safe.
 */
public final class LatencyBuckets {
    private static final int[] UPPER_MILLISECONDS = {
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000
    };

    /** Number of buckets. */
    public static final int COUNT = UPPER_MILLISECONDS.length + 1;

    private LatencyBuckets() {}

    /** Returns the index of the bucket for a latency. */
    public static int indexOf(long latencyMilliseconds) {
        int index = 0;
        while (index < UPPER_MILLISECONDS.length
                && latencyMilliseconds > UPPER_MILLISECONDS[index]) {
            index++;
        }
        return index;
    }

    /** Returns the inclusive upper bound of a bucket; {@code Long.MAX_VALUE} for the last. */
    public static long upperMilliseconds(int index) {
        return index < UPPER_MILLISECONDS.length ? UPPER_MILLISECONDS[index] : Long.MAX_VALUE;
    }
}
