package org.damaskmoor.core.placement;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Chooses the target that is expected to answer a call at the least cost; answers bursts whose
 * calls must not all go to the hole that was seen last.
 *
 * <p>The cost is the time until the answer, and what distance and recent failures cost, told as
 * time. Each call that is sent raises the expectation at its target at once, so the next one of a
 * burst sees it. Times are in milliseconds. Not thread-safe.
 */
public final class TargetChooser {
    /** Spreads choices between targets that are about equally good, as a part of the cost. */
    private static final double SPREAD = 0.08;

    /** Work time of a route of which nothing is known, in milliseconds. */
    private static final double UNKNOWN_WORK_MILLISECONDS = 100;

    /** Goal of a route without one, as a multiple of its work time. */
    private static final double GOAL_IN_WORK_TIMES = 4;

    /** Calls that are out for more than this many work times say that the target is slow. */
    private static final double PATIENCE_IN_WORK_TIMES = 2;

    private final RandomGenerator random;

    public TargetChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * The best candidate, or null when there is none.
     *
     * @param candidates what may be chosen
     * @param estimateOf what is expected of a candidate
     * @param work what is known of the call
     */
    public <T> T choose(
            List<T> candidates, Function<T, TargetEstimate> estimateOf, WorkView work, long now) {
        T best = null;
        double least = Double.MAX_VALUE;
        for (T candidate : candidates) {
            double cost = cost(estimateOf.apply(candidate), work, now);
            double spread = cost * (1 + SPREAD * random.nextDouble());
            if (spread < least) {
                best = candidate;
                least = spread;
            }
        }
        return best;
    }

    /** Expected cost of a call at a target, in milliseconds. */
    public double cost(TargetEstimate target, WorkView work, long now) {
        double usual =
                work.usualMilliseconds() > 0 ? work.usualMilliseconds() : UNKNOWN_WORK_MILLISECONDS;
        double goal =
                work.goalMilliseconds() > 0 ? work.goalMilliseconds() : GOAL_IN_WORK_TIMES * usual;
        double slowness = target.slowness(now);
        double service = usual * slowness;
        double calls = target.expectedCalls(now) + 1;
        double occupancy = calls / target.limit();
        double waiting = Math.max(0, occupancy - 1) * service;
        double crowding = 0.15 * Math.min(1, occupancy) * service;
        double overdue =
                Math.max(0, target.meanAge(now) - PATIENCE_IN_WORK_TIMES * service)
                        / (1 + PATIENCE_IN_WORK_TIMES);
        double failure = target.failureRate(now) * goal;
        return service
                + waiting
                + crowding
                + overdue
                + failure
                + target.nearness().roundTripMilliseconds()
                + target.nearness().priceInGoals() * goal;
    }
}
