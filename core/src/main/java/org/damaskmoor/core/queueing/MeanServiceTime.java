package org.damaskmoor.core.queueing;

/**
 * Moving average of the service times of an upstream's recent calls, in milliseconds. Not
 * thread-safe.
 */
final class MeanServiceTime {
    /** Weight of one sample in the mean. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Service time assumed before the first sample. */
    private static final double INITIAL_MILLISECONDS = 100;

    private double milliseconds = INITIAL_MILLISECONDS;

    void onAnswered(double sample) {
        milliseconds += SAMPLE_WEIGHT * (sample - milliseconds);
    }

    double milliseconds() {
        return milliseconds;
    }
}
