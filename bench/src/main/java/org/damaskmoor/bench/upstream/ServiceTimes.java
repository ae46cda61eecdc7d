package org.damaskmoor.bench.upstream;

import java.util.random.RandomGenerator;

/**
 * Random service times: half of the typical time is fixed, half is exponentially distributed.
 *
 * <p>Invariant: the same seed and the same changes give the same times. Not thread safe: confined
 * to one event loop.
 */
public final class ServiceTimes {
    /** Period after a start during which service times are multiplied by the factor. */
    public record ColdStart(long milliseconds, double factor) {}

    private final double typicalMilliseconds;
    private final RandomGenerator random;
    private final ColdStart coldStart;
    private final long startedAtMilliseconds;
    private double factor = 1;

    public ServiceTimes(
            double typicalMilliseconds,
            RandomGenerator random,
            ColdStart coldStart,
            long startedAtMilliseconds) {
        this.typicalMilliseconds = typicalMilliseconds;
        this.random = random;
        this.coldStart = coldStart;
        this.startedAtMilliseconds = startedAtMilliseconds;
    }

    /** Multiplies all later service times by the factor. */
    public void shift(double newFactor) {
        factor = newFactor;
    }

    /** Returns whether the cold start is in progress. */
    public boolean cold(long nowMilliseconds) {
        return nowMilliseconds - startedAtMilliseconds < coldStart.milliseconds();
    }

    /** Returns the service time of the next request in milliseconds. */
    public long next(long nowMilliseconds) {
        double variation = 0.5 + 0.5 * random.nextExponential();
        double cold = cold(nowMilliseconds) ? coldStart.factor() : 1;
        return Math.round(typicalMilliseconds * variation * factor * cold);
    }
}
