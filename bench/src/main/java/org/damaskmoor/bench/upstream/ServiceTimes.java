package org.damaskmoor.bench.upstream;

import java.util.random.RandomGenerator;

/**
 * How long requests take: half of the typical time fixed, half exponentially distributed.
 *
 * <p>Invariant: the same seed and the same changes give the same times. Not thread safe: one event
 * loop owns it.
 */
public final class ServiceTimes {
    /** Time after a start in which requests take longer. */
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

    /** Makes all later requests longer by the factor. */
    public void shift(double newFactor) {
        factor = newFactor;
    }

    /** Returns true during the cold start. */
    public boolean cold(long nowMilliseconds) {
        return nowMilliseconds - startedAtMilliseconds < coldStart.milliseconds();
    }

    /** Returns the next request's time in milliseconds. */
    public long next(long nowMilliseconds) {
        double spread = 0.5 + 0.5 * random.nextExponential();
        double cold = cold(nowMilliseconds) ? coldStart.factor() : 1;
        return Math.round(typicalMilliseconds * spread * factor * cold);
    }
}
