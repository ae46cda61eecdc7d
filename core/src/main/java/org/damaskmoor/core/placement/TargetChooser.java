package org.damaskmoor.core.placement;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Chooses the target whose answer is expected to be worth most, less what it costs to carry it;
 * answers bursts whose calls must not all go to the hole that was seen last.
 *
 * <p>The worth of an answer falls from its objective on, so a near target that is a little slower
 * is better than a far one as long as both answer in time. Each call that is sent raises the
 * expectation at its target at once, so the next one of a burst sees it. Costs are told in answers,
 * times in milliseconds. Not thread-safe.
 */
public final class TargetChooser {
    /** Spreads choices between targets that are about equally good, in milliseconds. */
    private static final double SPREAD_MILLISECONDS = 1;

    /** Work time of a route of which nothing is known, in milliseconds. */
    private static final double UNKNOWN_WORK_MILLISECONDS = 100;

    /** Calls that are out for more than this many work times say that the target is slow. */
    private static final double PATIENCE_IN_WORK_TIMES = 2;

    /** Usual wait for the end of a slow moment, in milliseconds. */
    private static final double MOMENT_MILLISECONDS = 90;

    /** Expected part of the objective up to which practically every answer is in time. */
    private static final double SAFE_PART = 0.4;

    /** Expected part of the objective from which practically every answer is late. */
    private static final double LATE_PART = 1.3;

    /** What a late answer loses, in answers. */
    private static final double LATE_LOSS = 0.9;

    /** Makes the sooner answer the better one where both are in time. */
    private static final double LOSS_PER_OBJECTIVE = 0.06;

    /** What a failure loses: the answer, or the work of another attempt. */
    private static final double FAILURE_LOSS = 0.6;

    private final RandomGenerator random;

    public TargetChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A chosen candidate.
     *
     * @param target the best one
     * @param spareMilliseconds how much later it may start the call and still be the best; {@link
     *     Double#MAX_VALUE} when there is no other
     */
    public record Choice<T>(T target, double spareMilliseconds) {}

    /**
     * The best candidate, or null when there is none.
     *
     * @param candidates what may be chosen
     * @param estimateOf what is expected of a candidate
     * @param work what is known of the call
     */
    public <T> Choice<T> choose(
            List<T> candidates,
            Function<T, TargetEstimate> estimateOf,
            CallProfile work,
            long now) {
        T best = null;
        double least = Double.MAX_VALUE;
        double second = Double.MAX_VALUE;
        for (T candidate : candidates) {
            double delay = SPREAD_MILLISECONDS * random.nextDouble();
            double spread = cost(estimateOf.apply(candidate), work, delay, now);
            if (spread < least) {
                best = candidate;
                second = least;
                least = spread;
            } else {
                second = Math.min(second, spread);
            }
        }
        if (best == null) {
            return null;
        }
        return new Choice<>(best, spare(estimateOf.apply(best), second, work, now));
    }

    /** The delay at which the target would cost as much as the given cost. */
    private double spare(TargetEstimate target, double otherCost, CallProfile work, long now) {
        if (otherCost == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        double low = 0;
        double high = Math.max(1, 2 * work.objectiveMilliseconds());
        if (cost(target, work, high, now) <= otherCost) {
            return high;
        }
        for (int i = 0; i < 8; i++) {
            double middle = (low + high) / 2;
            if (cost(target, work, middle, now) < otherCost) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /**
     * Expected cost of a call at a target, in answers.
     *
     * @param delayMilliseconds added to the time until its answer
     */
    public double cost(
            TargetEstimate target, CallProfile work, double delayMilliseconds, long now) {
        double time = expectedMilliseconds(target, work, now) + delayMilliseconds;
        double part = time / Math.max(1, work.objectiveMilliseconds());
        double late = Math.min(1, Math.max(0, (part - SAFE_PART) / (LATE_PART - SAFE_PART)));
        return LATE_LOSS * late
                + LOSS_PER_OBJECTIVE * part
                + FAILURE_LOSS * target.failureRate(now)
                + target.nearness().pricePerKilobyte() * work.kilobytes();
    }

    /** Expected time until the answer of a call at a target, in milliseconds. */
    public double expectedMilliseconds(TargetEstimate target, CallProfile work, long now) {
        double usual =
                work.usualMilliseconds() > 0 ? work.usualMilliseconds() : UNKNOWN_WORK_MILLISECONDS;
        double service = usual * target.baselineSlowness();
        double moment = Math.min(MOMENT_MILLISECONDS, usual * target.transientSlowness(now));
        double occupancy = (target.expectedCalls(now) + 1) / target.limit();
        double waiting = Math.max(0, occupancy - 1) * service;
        double crowding = 0.1 * Math.min(1, occupancy) * service;
        double overdue =
                Math.max(0, target.meanInFlightAge(now) - PATIENCE_IN_WORK_TIMES * service)
                        / (1 + PATIENCE_IN_WORK_TIMES);
        return service
                + moment
                + waiting
                + crowding
                + overdue
                + target.nearness().roundTripMilliseconds();
    }
}
