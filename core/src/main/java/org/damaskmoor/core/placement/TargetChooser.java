package org.damaskmoor.core.placement;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Chooses the target with the least expected cost: lateness, failures and network traffic.
 *
 * <p>Lateness is measured against the latency objective, so a slightly slower target nearby is
 * better than a distant one as long as both answer in time. Each call sent counts in its target's
 * estimate at once, which keeps a burst from going entirely to the target that was least loaded
 * before it. Costs are relative to the value of one answer in time; times are in milliseconds. Not
 * thread-safe.
 */
public final class TargetChooser {
    /** Random jitter that spreads choices over targets of nearly equal cost. */
    private static final double JITTER_MILLISECONDS = 1;

    /** Service time assumed for a route without samples. */
    private static final double DEFAULT_SERVICE_MILLISECONDS = 100;

    /** Calls in flight for longer than this many service times indicate a slow target. */
    private static final double OVERDUE_SERVICE_TIMES = 2;

    /** Typical remaining duration of a transient slowdown. */
    private static final double SLOWDOWN_MILLISECONDS = 90;

    /**
     * Fraction of the objective up to which an expected time has practically no risk of lateness.
     */
    private static final double SAFE_FRACTION = 0.4;

    /** Fraction of the objective from which an answer is practically certain to be late. */
    private static final double LATE_FRACTION = 1.3;

    /** Cost of a late answer. */
    private static final double LATE_COST = 0.9;

    /** Cost per objective of expected time; prefers the faster target when both answer in time. */
    private static final double COST_PER_OBJECTIVE = 0.06;

    /** Cost of a failure, which loses the answer or takes the work of another attempt. */
    private static final double FAILURE_COST = 0.6;

    private final RandomGenerator random;

    public TargetChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A chosen candidate.
     *
     * @param target the candidate with the least cost
     * @param spareMilliseconds how much the call may be delayed at the target before the
     *     second-best candidate is better; {@link Double#MAX_VALUE} when there is no other
     */
    public record Choice<T>(T target, double spareMilliseconds) {}

    /**
     * Returns the candidate with the least cost, or null when there is none.
     *
     * @param candidates the candidates
     * @param estimateOf returns the estimate of a candidate
     * @param profile the profile of the call
     */
    public <T> Choice<T> choose(
            List<T> candidates,
            Function<T, TargetEstimate> estimateOf,
            CallProfile profile,
            long now) {
        T best = null;
        double leastCost = Double.MAX_VALUE;
        double secondCost = Double.MAX_VALUE;
        for (T candidate : candidates) {
            double jitter = JITTER_MILLISECONDS * random.nextDouble();
            double cost = cost(estimateOf.apply(candidate), profile, jitter, now);
            if (cost < leastCost) {
                best = candidate;
                secondCost = leastCost;
                leastCost = cost;
            } else {
                secondCost = Math.min(secondCost, cost);
            }
        }
        if (best == null) {
            return null;
        }
        return new Choice<>(best, spare(estimateOf.apply(best), secondCost, profile, now));
    }

    /** Returns the delay at which the target reaches the given cost, by bisection. */
    private double spare(TargetEstimate target, double otherCost, CallProfile profile, long now) {
        if (otherCost == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double low = 0;
        double high = Math.max(1, 2 * profile.objectiveMilliseconds());
        if (cost(target, profile, high, now) <= otherCost) {
            return high;
        }
        for (int i = 0; i < 8; i++) {
            double middle = (low + high) / 2;
            if (cost(target, profile, middle, now) < otherCost) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /**
     * Returns the expected cost of a call at a target, relative to the value of one answer in time.
     *
     * @param delayMilliseconds added to the expected time until the answer
     */
    public double cost(
            TargetEstimate target, CallProfile profile, double delayMilliseconds, long now) {
        double time = expectedMilliseconds(target, profile, now) + delayMilliseconds;
        double fraction = time / Math.max(1, profile.objectiveMilliseconds());
        double lateProbability =
                Math.min(
                        1,
                        Math.max(0, (fraction - SAFE_FRACTION) / (LATE_FRACTION - SAFE_FRACTION)));
        return LATE_COST * lateProbability
                + COST_PER_OBJECTIVE * fraction
                + FAILURE_COST * target.failureRate(now)
                + target.proximity().pricePerKilobyte() * profile.kilobytes();
    }

    /** Returns the expected time until a call at a target is answered, in milliseconds. */
    public double expectedMilliseconds(TargetEstimate target, CallProfile profile, long now) {
        double normal =
                profile.serviceMilliseconds() > 0
                        ? profile.serviceMilliseconds()
                        : DEFAULT_SERVICE_MILLISECONDS;
        double service = normal * target.baselineSlowness();
        double slowdown = Math.min(SLOWDOWN_MILLISECONDS, normal * target.transientSlowness(now));
        double occupancy = (target.expectedCalls(now) + 1) / target.limit();
        double slotWait = Math.max(0, occupancy - 1) * service;
        double waiting = Math.max(slotWait, target.startDelayMilliseconds(now));
        double contention = 0.1 * Math.min(1, occupancy) * service;
        double overdue =
                Math.max(0, target.meanInFlightAge(now) - OVERDUE_SERVICE_TIMES * service)
                        / (1 + OVERDUE_SERVICE_TIMES);
        return service
                + slowdown
                + waiting
                + contention
                + overdue
                + target.proximity().roundTripMilliseconds();
    }
}
