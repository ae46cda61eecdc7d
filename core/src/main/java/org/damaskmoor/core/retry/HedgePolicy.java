package org.damaskmoor.core.retry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Decides when to hedge an idempotent request, by sending it to a second target as well, and
 * whether the retry budget allows it.
 *
 * <pre>{@code
 * OptionalLong delay = hedging.delayNanoseconds(rule.nonIdempotent(), now);
 * // when that time has passed without an answer:
 * if (hedging.tryHedge(now)) {
 *     // send the second attempt; cancel the one that loses
 * }
 * }</pre>
 *
 * <p>The delay is a high percentile of latency over the last one to two windows. Invariants: a
 * non-idempotent request is never hedged; hedges use the same budget as retries. Not thread-safe.
 */
public final class HedgePolicy {
    private static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);
    private static final long REFRESH_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MIN_DELAY_MICROSECONDS = 1000;
    private static final long MAX_LATENCY_MICROSECONDS = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final int MIN_SAMPLES = 100;

    private final RetryBudget budget;
    private int percentile;
    private IntCountsHistogram current = histogram();
    private IntCountsHistogram previous = histogram();
    private long windowStartNanoseconds;
    private long refreshedAtNanoseconds;
    private long delayMicroseconds;

    /**
     * Creates a policy that uses the given budget.
     *
     * @param percentile the latency percentile; 0 disables hedging
     */
    public HedgePolicy(int percentile, RetryBudget budget, long nowNanoseconds) {
        this.percentile = percentile;
        this.budget = budget;
        this.windowStartNanoseconds = nowNanoseconds;
        this.refreshedAtNanoseconds = nowNanoseconds - REFRESH_NANOSECONDS;
    }

    /** Applies a changed configuration. */
    public void configure(int newPercentile) {
        percentile = newPercentile;
        delayMicroseconds = 0;
    }

    /**
     * Records the latency of a first attempt. Answers to hedges must not be recorded, because they
     * would lower the percentile.
     */
    public void onAnswered(long latencyNanoseconds, long nowNanoseconds) {
        rotate(nowNanoseconds);
        long microseconds = TimeUnit.NANOSECONDS.toMicros(Math.max(0, latencyNanoseconds));
        current.recordValue(Math.min(MAX_LATENCY_MICROSECONDS, microseconds));
    }

    /** Returns the delay after which to hedge, or empty when the request must not be hedged. */
    public OptionalLong delayNanoseconds(boolean nonIdempotent, long nowNanoseconds) {
        if (percentile == 0 || nonIdempotent) {
            return OptionalLong.empty();
        }
        rotate(nowNanoseconds);
        refresh(nowNanoseconds);
        if (delayMicroseconds == 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(TimeUnit.MICROSECONDS.toNanos(delayMicroseconds));
    }

    /** Takes the hedge from the budget; when it returns false the hedge must not be sent. */
    public boolean tryHedge(long nowNanoseconds) {
        return budget.tryAcquireForHedge(nowNanoseconds);
    }

    private void rotate(long now) {
        if (now - windowStartNanoseconds < WINDOW_NANOSECONDS) {
            return;
        }
        IntCountsHistogram oldest = previous;
        previous = current;
        current = oldest;
        current.reset();
        if (now - windowStartNanoseconds >= 2 * WINDOW_NANOSECONDS) {
            previous.reset();
        }
        windowStartNanoseconds = now;
    }

    private void refresh(long now) {
        if (now - refreshedAtNanoseconds < REFRESH_NANOSECONDS) {
            return;
        }
        refreshedAtNanoseconds = now;
        if (current.getTotalCount() + previous.getTotalCount() < MIN_SAMPLES) {
            delayMicroseconds = 0;
            return;
        }
        IntCountsHistogram both = current.copy();
        both.add(previous);
        long latencyMicroseconds = both.getValueAtPercentile(percentile);
        delayMicroseconds = Math.max(MIN_DELAY_MICROSECONDS, latencyMicroseconds);
    }

    private static IntCountsHistogram histogram() {
        return new IntCountsHistogram(MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
    }
}
