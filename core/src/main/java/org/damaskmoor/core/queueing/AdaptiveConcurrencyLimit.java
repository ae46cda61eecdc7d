package org.damaskmoor.core.queueing;

import java.util.Arrays;

/**
 * Learns the concurrency at which an upstream has the greatest throughput, for upstreams that
 * announce more slots than they can serve at full speed.
 *
 * <p>Keeps the mean slowdown of calls for each level of concurrency. The limit is the level with
 * the most answers per second. Not thread-safe.
 */
public final class AdaptiveConcurrencyLimit {
    /** Minimum number of samples before a level of concurrency is considered. */
    private static final int MIN_SAMPLES = 12;

    /** Minimum weight of one sample in the mean. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** A lower level must have a throughput greater by this factor to replace a higher one. */
    private static final double MIN_THROUGHPUT_GAIN = 1.08;

    /**
     * Minimum fraction of the slots that is used, because what looks like contention may be a slow
     * VM.
     */
    private static final double MIN_SLOT_FRACTION = 0.5;

    private double[] slowdowns = new double[0];
    private int[] samples = new int[0];

    /**
     * Records an answered call.
     *
     * @param concurrency number of calls that ran when it started, including itself
     * @param slowdown its service time as a multiple of normal
     */
    public void onAnswered(int concurrency, double slowdown) {
        grow(concurrency);
        samples[concurrency]++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples[concurrency]);
        slowdowns[concurrency] += weight * (slowdown - slowdowns[concurrency]);
    }

    /**
     * Returns the number of calls to run concurrently on an upstream with the given number of
     * slots.
     */
    public int limit(int slots) {
        int lowest = Math.max(1, (int) Math.ceil(slots * MIN_SLOT_FRACTION));
        int limit = slots;
        double maxThroughput = 0;
        int knownLevels = 0;
        for (int calls = Math.min(slots, slowdowns.length - 1); calls >= lowest; calls--) {
            if (samples[calls] < MIN_SAMPLES) {
                continue;
            }
            double throughput = calls / slowdowns[calls];
            if (knownLevels == 0 || throughput > MIN_THROUGHPUT_GAIN * maxThroughput) {
                limit = knownLevels == 0 ? slots : calls;
                maxThroughput = throughput;
            }
            knownLevels++;
        }
        boolean nextLevelUnknown = limit < slots && samples[limit + 1] < MIN_SAMPLES;
        return nextLevelUnknown ? limit + 1 : limit;
    }

    private void grow(int concurrency) {
        if (concurrency >= slowdowns.length) {
            slowdowns = Arrays.copyOf(slowdowns, concurrency + 1);
            samples = Arrays.copyOf(samples, concurrency + 1);
        }
    }
}
