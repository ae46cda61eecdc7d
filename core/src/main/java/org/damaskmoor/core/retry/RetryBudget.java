package org.damaskmoor.core.retry;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the retries and hedges of one service at one entry node to a share of its requests.
 *
 * <pre>{@code
 * budget.onRequest(now);
 * if (budget.tryTake(now)) {
 *     // send one more attempt
 * }
 * }</pre>
 *
 * <p>Each request adds its share of a token, each further attempt takes a whole one. A small floor
 * lets a service with few requests retry at all. Invariant: attempts taken are at most the burst,
 * the share of the requests, and the floor times the time. Not thread-safe.
 */
public final class RetryBudget {
    private static final double FLOOR_TOKENS_PER_SECOND = 1;
    private static final double BURST_TOKENS = 20;
    private static final double SHARE_KEPT_FROM_HEDGES = 0.5;
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double PERCENT = 100;

    /** Sums of small shares may fall a little short of a whole token. */
    private static final double ROUNDING = 1e-9;

    private final double burstTokens;
    private double tokensPerRequest;
    private double tokens;
    private long filledAtNanoseconds;

    public RetryBudget(int percent, long nowNanoseconds) {
        this(percent, BURST_TOKENS, nowNanoseconds);
    }

    private RetryBudget(int percent, double burstTokens, long nowNanoseconds) {
        configure(percent);
        this.burstTokens = burstTokens;
        this.tokens = burstTokens;
        this.filledAtNanoseconds = nowNanoseconds;
    }

    /** A budget that never allows a further attempt, for baselines without retries. */
    public static RetryBudget none() {
        return new RetryBudget(0, 0, 0);
    }

    /** The configuration has changed. */
    public void configure(int percent) {
        tokensPerRequest = percent / PERCENT;
    }

    /** A caller's request came; its further attempts are not counted here. */
    public void onRequest(long nowNanoseconds) {
        fill(nowNanoseconds);
        add(tokensPerRequest);
    }

    /** Takes one further attempt out of the budget. False: it must not be sent. */
    public boolean tryAcquire(long nowNanoseconds) {
        fill(nowNanoseconds);
        if (tokens < 1 - ROUNDING) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Takes a hedge out of the budget. Hedges leave half of the burst to retries: a hedge only
     * makes an answer faster, and a retry saves a request from being refused.
     */
    boolean tryAcquireForHedge(long nowNanoseconds) {
        fill(nowNanoseconds);
        if (tokens - 1 < SHARE_KEPT_FROM_HEDGES * burstTokens - ROUNDING) {
            return false;
        }
        return tryAcquire(nowNanoseconds);
    }

    private void fill(long now) {
        double seconds = Math.max(0, now - filledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        add(seconds * FLOOR_TOKENS_PER_SECOND);
        filledAtNanoseconds = now;
    }

    private void add(double more) {
        tokens = Math.min(burstTokens, tokens + more);
    }
}
