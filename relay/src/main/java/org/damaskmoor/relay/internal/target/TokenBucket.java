package org.damaskmoor.relay.internal.target;

/**
 * A token bucket that holds at most one second's worth of tokens. Bounds the mean rate; a single
 * second in which a full bucket is used up may see up to 1.6 times the configured rate.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** Fraction of the configured rate that is used, so that rounding errors never exceed it. */
    private static final double USED_FRACTION = 0.8;

    private final double perSecond;
    private double tokens;
    private long refilledAt;
    private boolean initialized;

    TokenBucket(double perSecond) {
        this.perSecond = perSecond * USED_FRACTION;
    }

    boolean tryAcquire(long now) {
        if (!initialized) {
            initialized = true;
            refilledAt = now;
            tokens = perSecond;
        }
        tokens += (now - refilledAt) * perSecond / MILLISECONDS_PER_SECOND;
        tokens = Math.min(tokens, perSecond);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
