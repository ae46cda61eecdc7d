package org.damaskmoor.core.admission.internal;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive concurrency limit for an upstream, at most the maximum that it announced.
 *
 * <p>The limit follows the latency gradient: the long-term mean of service time divided by the
 * short-term mean. While the short-term mean is at most {@link #TOLERANCE} times the long-term
 * mean, the limit grows by its square root each interval; above that it shrinks in proportion.
 * Three rules keep noise from collapsing the limit: only a mean of many samples changes it; one
 * step reduces it by at most a fifth; and latency alone never reduces it below half of the maximum,
 * because queued requests can still be refused as "not run" and leaving slots of a slow upstream
 * idle only makes it slower. The long-term mean follows lasting changes, so an upstream that has
 * become permanently slower regains its full limit. Only requests shed by the upstream itself
 * reduce the limit further, down to 1. After any reduction the limit grows by one each second
 * without a further one, so that an upstream that receives few requests does not keep a small
 * limit.
 *
 * <p>Invariant: the limit is between 1 and the maximum. Not thread-safe.
 */
final class GradientConcurrencyLimit {
    private static final double TOLERANCE = 2.0;
    private static final double MIN_STEP_FACTOR = 0.8;
    private static final double SHED_FACTOR = 0.9;
    private static final double LATENCY_FLOOR_FRACTION = 0.5;
    private static final double LONG_TERM_RISE_WEIGHT = 0.01;
    private static final double LONG_TERM_FALL_WEIGHT = 0.1;
    private static final int SAMPLES_PER_INTERVAL = 20;
    private static final long RECOVERY_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final long SHED_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    private int maximum = 1;
    private double limit = 1;
    private double longTermMeanNanoseconds;
    private double sumNanoseconds;
    private int samples;
    private int maxInFlight;
    private boolean lowered;
    private boolean everShed;
    private long shedAtNanoseconds;
    private long changedAtNanoseconds;

    /** The limit as a whole number of requests. */
    int value() {
        return Math.max(1, (int) Math.floor(limit + 1e-9));
    }

    /**
     * Sets the maximum. When the maximum is raised, the limit is raised by the same amount at once.
     */
    void setMaximum(int newMaximum) {
        int bounded = Math.max(1, newMaximum);
        limit = bounded > maximum ? limit + (bounded - maximum) : Math.min(limit, bounded);
        maximum = bounded;
    }

    /** Raises a lowered limit according to the time passed. */
    void recover(long now) {
        if (limit >= maximum) {
            lowered = false;
            return;
        }
        if (!lowered) {
            lowered = true;
            changedAtNanoseconds = now;
        }
        long intervals = (now - changedAtNanoseconds) / RECOVERY_INTERVAL_NANOSECONDS;
        if (intervals > 0) {
            limit = Math.min(maximum, limit + intervals);
            changedAtNanoseconds += intervals * RECOVERY_INTERVAL_NANOSECONDS;
        }
    }

    /**
     * Records a complete answer, received while {@code inFlight} requests including the answered
     * one were in flight.
     */
    void onAnswered(long latencyNanoseconds, int inFlight) {
        sumNanoseconds += latencyNanoseconds;
        samples++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        if (samples >= SAMPLES_PER_INTERVAL) {
            adapt(sumNanoseconds / samples);
            sumNanoseconds = 0;
            samples = 0;
            maxInFlight = 0;
        }
    }

    /**
     * Lowers the limit because the upstream shed a request. Requests shed within one interval count
     * once.
     */
    void onShed(long now) {
        if (everShed && now - shedAtNanoseconds < SHED_INTERVAL_NANOSECONDS) {
            return;
        }
        everShed = true;
        shedAtNanoseconds = now;
        limit = Math.max(1, limit * SHED_FACTOR);
        lowered = true;
        changedAtNanoseconds = now;
    }

    private void adapt(double shortTermMeanNanoseconds) {
        if (longTermMeanNanoseconds == 0) {
            longTermMeanNanoseconds = shortTermMeanNanoseconds;
        }
        double gradient =
                TOLERANCE * longTermMeanNanoseconds / Math.max(1, shortTermMeanNanoseconds);
        updateLongTermMean(shortTermMeanNanoseconds);
        if (gradient < 1) {
            double floor = Math.min(limit, Math.max(1, maximum * LATENCY_FLOOR_FRACTION));
            limit = Math.max(floor, limit * Math.max(MIN_STEP_FACTOR, gradient));
        } else if (2 * maxInFlight >= value()) {
            limit = Math.min(maximum, limit + Math.sqrt(limit));
        }
    }

    /**
     * Updates the long-term mean. It falls faster than it rises, because latency has a lower bound
     * but no upper bound.
     */
    private void updateLongTermMean(double shortTermMeanNanoseconds) {
        double difference = shortTermMeanNanoseconds - longTermMeanNanoseconds;
        double weight = difference < 0 ? LONG_TERM_FALL_WEIGHT : LONG_TERM_RISE_WEIGHT;
        longTermMeanNanoseconds += weight * difference;
    }
}
