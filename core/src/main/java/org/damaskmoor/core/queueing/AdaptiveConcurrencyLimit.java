package org.damaskmoor.core.queueing;

import java.util.Arrays;

/**
 * Learns how many calls an upstream serves best at once; answers upstreams that have more slots
 * than they can serve at full speed.
 *
 * <p>For each number of calls that run together it keeps how much longer than usual they took. The
 * best number is the one with the most answers a second, not the greatest. Not thread-safe.
 */
public final class AdaptiveConcurrencyLimit {
    /** Samples of one number of calls before it is believed. */
    private static final int ENOUGH_SAMPLES = 12;

    /** Weight of one sample, once there are enough. */
    private static final double NEWS_WEIGHT = 0.05;

    /** By how much a smaller number must serve more before the greater one is given up. */
    private static final double CLEARLY_MORE = 1.08;

    /** No fewer than this part of the slots are used: what looks like crowding may be slowness. */
    private static final double LEAST_PART = 0.5;

    private double[] stretch = new double[0];
    private int[] samples = new int[0];

    /**
     * A call was answered.
     *
     * @param together calls that ran when it started, itself included
     * @param stretched the time it took, in usual times
     */
    public void onAnswered(int together, double stretched) {
        grow(together);
        samples[together]++;
        double weight = Math.max(NEWS_WEIGHT, 1.0 / samples[together]);
        stretch[together] += weight * (stretched - stretch[together]);
    }

    /** How many calls to run at once on an upstream with so many slots. */
    public int limit(int slots) {
        int least = Math.max(1, (int) Math.ceil(slots * LEAST_PART));
        int best = slots;
        double most = 0;
        int known = 0;
        for (int calls = Math.min(slots, stretch.length - 1); calls >= least; calls--) {
            if (samples[calls] < ENOUGH_SAMPLES) {
                continue;
            }
            double served = calls / stretch[calls];
            if (known == 0 || served > CLEARLY_MORE * most) {
                best = known == 0 ? slots : calls;
                most = served;
            }
            known++;
        }
        boolean nextUnknown = best < slots && samples[best + 1] < ENOUGH_SAMPLES;
        return nextUnknown ? best + 1 : best;
    }

    private void grow(int together) {
        if (together >= stretch.length) {
            stretch = Arrays.copyOf(stretch, together + 1);
            samples = Arrays.copyOf(samples, together + 1);
        }
    }
}
