package org.damaskmoor.core.queueing;

import java.util.OptionalDouble;

/**
 * Paces the calls that are started on one upstream while the upstream names a request limit.
 *
 * <p>Answers the load pattern of an upstream in need: it has free slots, but accepts fewer calls a
 * second than its slots would allow. Calls that come in a burst start at once if the upstream got
 * fewer than its limit in the last second.
 *
 * <p>The upstream's own word counts. After a restart of the node, the limit that other nodes have
 * heard holds until the upstream has answered.
 *
 * <p>Invariant: in any time of {@code s} seconds in which the limit does not change, at most {@code
 * limit * (s + 1) + 1} calls start. Times are in milliseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class CallPacer implements StartPacer {
    /** Time for which unused starts are kept, so that a burst need not wait. */
    private static final double BURST_SECONDS = 1;

    /** Upper bound of a wait and of an interval, for an upstream that accepts no calls at all. */
    private static final double MAX_WAIT_MILLISECONDS = 60_000;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private OptionalDouble limitPerSecond = OptionalDouble.empty();
    private boolean known;
    private double tokens;
    private long refilledAt;

    /** The upstream answered and named this limit, or none. */
    public void onAnswer(OptionalDouble newLimitPerSecond, long now) {
        known = true;
        setLimit(newLimitPerSecond, now);
    }

    /** Another node has heard this limit; it holds only while the upstream has not answered. */
    public void onHearsay(double newLimitPerSecond, long now) {
        if (!known) {
            setLimit(OptionalDouble.of(newLimitPerSecond), now);
        }
    }

    /** Another upstream has taken the place of the former one, and has not answered yet. */
    public void reset() {
        known = false;
        limitPerSecond = OptionalDouble.empty();
    }

    private void setLimit(OptionalDouble newLimitPerSecond, long now) {
        if (newLimitPerSecond.equals(limitPerSecond)) {
            return;
        }
        if (limitPerSecond.isEmpty()) {
            tokens = 1;
        } else {
            refill(now);
        }
        limitPerSecond = newLimitPerSecond;
        refilledAt = now;
        tokens = Math.min(tokens, capacity());
    }

    /** Whether the upstream has answered since it appeared, so that its limit is known. */
    public boolean isKnown() {
        return known;
    }

    /** The limit in force, in calls a second; empty if there is none. */
    public OptionalDouble limitPerSecond() {
        return limitPerSecond;
    }

    @Override
    public boolean tryStart(long now) {
        if (limitPerSecond.isEmpty()) {
            return true;
        }
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    @Override
    public double waitMilliseconds(int callsAhead, long now) {
        if (limitPerSecond.isEmpty()) {
            return 0;
        }
        refill(now);
        double missing = callsAhead + 1 - tokens;
        if (missing <= 0) {
            return 0;
        }
        return Math.min(MAX_WAIT_MILLISECONDS, missing * intervalMilliseconds(limitPerSecond));
    }

    @Override
    public double intervalMilliseconds(long now) {
        return intervalMilliseconds(limitPerSecond);
    }

    /**
     * Mean time between two starts under a limit in calls a second, in milliseconds; 0 without a
     * limit.
     */
    public static double intervalMilliseconds(OptionalDouble limitPerSecond) {
        return limitPerSecond.isEmpty()
                ? 0
                : Math.min(
                        MAX_WAIT_MILLISECONDS,
                        MILLISECONDS_PER_SECOND / limitPerSecond.getAsDouble());
    }

    private void refill(long now) {
        tokens += (now - refilledAt) * limitPerSecond.getAsDouble() / MILLISECONDS_PER_SECOND;
        tokens = Math.min(tokens, capacity());
        refilledAt = now;
    }

    private double capacity() {
        return Math.max(1, limitPerSecond.orElse(1) * BURST_SECONDS);
    }
}
