package org.damaskmoor.core.admission.internal;

import java.util.concurrent.TimeUnit;

/**
 * How many requests the upstream gets at once, between bounds that it announced.
 *
 * <p>The limit follows the gradient of latency: the slow mean of service time over its fast mean.
 * While the fast mean is within {@link #TOLERANCE} of the slow one, the limit grows by the square
 * root of itself each interval; above that it shrinks in proportion. Three things keep noise from
 * collapsing it: a mean of many samples decides, never a single one; one step takes away a fifth at
 * most; and latency alone never takes it below half of the maximum, because requests that wait here
 * can still be refused as "not run" and a slow upstream with idle slots only gets slower. The slow
 * mean follows lasting changes, so that an upstream that has become slower for good gets its full
 * limit back. Only requests that the upstream itself sheds take the limit further down, to 1.
 * Whatever lowered it, it grows by one each second in which nothing lowers it, so that an upstream
 * to which hardly any request is sent any more is not left with a small limit for good.
 *
 * <p>Invariant: from 1 to the maximum. Not thread-safe.
 */
final class GradientConcurrencyLimit {
    private static final double TOLERANCE = 2.0;
    private static final double LEAST_STEP = 0.8;
    private static final double SHED_STEP = 0.9;
    private static final double LATENCY_FLOOR_SHARE = 0.5;
    private static final double SLOW_MEAN_RISE_WEIGHT = 0.01;
    private static final double SLOW_MEAN_FALL_WEIGHT = 0.1;
    private static final int SAMPLES_PER_INTERVAL = 20;
    private static final long RECOVERY_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final long SHED_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    private int maximum = 1;
    private double limit = 1;
    private double slowMeanNanoseconds;
    private double sumNanoseconds;
    private int samples;
    private int mostInFlight;
    private boolean lowered;
    private boolean shedSeen;
    private long shedAtNanoseconds;
    private long changedAtNanoseconds;

    /** The limit in whole requests. */
    int value() {
        return Math.max(1, (int) Math.floor(limit + 1e-9));
    }

    /** Sets the maximum. A first or raised one is granted at once. */
    void setMaximum(int newMaximum) {
        int bounded = Math.max(1, newMaximum);
        limit = bounded > maximum ? limit + (bounded - maximum) : Math.min(limit, bounded);
        maximum = bounded;
    }

    /** Lets time raise a lowered limit. */
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

    /** A whole answer came while {@code inFlight} requests, itself included, were out. */
    void onAnswered(long latencyNanoseconds, int inFlight) {
        sumNanoseconds += latencyNanoseconds;
        samples++;
        mostInFlight = Math.max(mostInFlight, inFlight);
        if (samples >= SAMPLES_PER_INTERVAL) {
            adapt(sumNanoseconds / samples);
            sumNanoseconds = 0;
            samples = 0;
            mostInFlight = 0;
        }
    }

    /** The upstream shed a request. Those that it sheds together count once. */
    void onShed(long now) {
        if (shedSeen && now - shedAtNanoseconds < SHED_INTERVAL_NANOSECONDS) {
            return;
        }
        shedSeen = true;
        shedAtNanoseconds = now;
        limit = Math.max(1, limit * SHED_STEP);
        lowered = true;
        changedAtNanoseconds = now;
    }

    private void adapt(double fastMeanNanoseconds) {
        if (slowMeanNanoseconds == 0) {
            slowMeanNanoseconds = fastMeanNanoseconds;
        }
        double gradient = TOLERANCE * slowMeanNanoseconds / Math.max(1, fastMeanNanoseconds);
        follow(fastMeanNanoseconds);
        if (gradient < 1) {
            double floor = Math.min(limit, Math.max(1, maximum * LATENCY_FLOOR_SHARE));
            limit = Math.max(floor, limit * Math.max(LEAST_STEP, gradient));
        } else if (2 * mostInFlight >= value()) {
            limit = Math.min(maximum, limit + Math.sqrt(limit));
        }
    }

    /** Falls faster than it rises, because latency has a floor but no ceiling. */
    private void follow(double fastMeanNanoseconds) {
        double difference = fastMeanNanoseconds - slowMeanNanoseconds;
        double weight = difference < 0 ? SLOW_MEAN_FALL_WEIGHT : SLOW_MEAN_RISE_WEIGHT;
        slowMeanNanoseconds += weight * difference;
    }
}
