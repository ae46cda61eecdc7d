package org.damaskmoor.core.retry;

import java.util.concurrent.TimeUnit;

/**
 * Limits the retries and hedges of one service at one entry node to a fraction of its requests.
 *
 * <pre>{@code
 * budget.onRequest(now);
 * if (budget.tryAcquire(now)) {
 *     // send one more attempt
 * }
 * }</pre>
 *
 * <p>A token bucket: each request adds a fraction of a token, each retry or hedge takes a whole
 * one. A minimum refill rate lets a service with few requests retry at all. Invariant: the number
 * of tokens taken is at most the burst, plus the fraction of the requests, plus the minimum rate
 * times the time. Not thread-safe.
 */
public final class RetryBudget {
    private static final double MIN_TOKENS_PER_SECOND = 1;
    private static final double BURST_TOKENS = 20;
    private static final double SHARE_RESERVED_FOR_RETRIES = 0.5;
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double PERCENT = 100;

    /** Tolerance for the rounding error in sums of token fractions. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final double burstTokens;
    private double tokensPerRequest;
    private double tokens;
    private long refilledAtNanoseconds;

    public RetryBudget(int percent, long nowNanoseconds) {
        this(percent, BURST_TOKENS, nowNanoseconds);
    }

    private RetryBudget(int percent, double burstTokens, long nowNanoseconds) {
        configure(percent);
        this.burstTokens = burstTokens;
        this.tokens = burstTokens;
        this.refilledAtNanoseconds = nowNanoseconds;
    }

    /** Returns a budget that never allows a retry, for benchmark baselines without retries. */
    public static RetryBudget none() {
        return new RetryBudget(0, 0, 0);
    }

    /** Applies a changed configuration. */
    public void configure(int percent) {
        tokensPerRequest = percent / PERCENT;
    }

    /** Called once for each request of a caller; its retries and hedges do not count. */
    public void onRequest(long nowNanoseconds) {
        refill(nowNanoseconds);
        add(tokensPerRequest);
    }

    /** Takes one retry from the budget; when it returns false the retry must not be sent. */
    public boolean tryAcquire(long nowNanoseconds) {
        refill(nowNanoseconds);
        if (tokens < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Takes a hedge from the budget. Half of the burst is reserved for retries: a hedge only makes
     * an answer faster, whereas a retry saves a request from failing.
     */
    boolean tryAcquireForHedge(long nowNanoseconds) {
        refill(nowNanoseconds);
        if (tokens - 1 < SHARE_RESERVED_FOR_RETRIES * burstTokens - ROUNDING_TOLERANCE) {
            return false;
        }
        return tryAcquire(nowNanoseconds);
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        add(seconds * MIN_TOKENS_PER_SECOND);
        refilledAtNanoseconds = now;
    }

    private void add(double newTokens) {
        tokens = Math.min(burstTokens, tokens + newTokens);
    }
}
