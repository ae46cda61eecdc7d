package org.damaskmoor.relay.internal.target;

/** Bounds how often something is done, with bursts of a second's worth. Not thread-safe. */
final class TokenBucket {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** Part of the bound that is used, so that rounding never breaks it. */
    private static final double USED_PART = 0.8;

    private final double perSecond;
    private double tokens;
    private long filledAt;
    private boolean started;

    TokenBucket(double perSecond) {
        this.perSecond = perSecond * USED_PART;
    }

    boolean tryAcquire(long now) {
        if (!started) {
            started = true;
            filledAt = now;
            tokens = perSecond;
        }
        tokens += (now - filledAt) * perSecond / MILLISECONDS_PER_SECOND;
        tokens = Math.min(tokens, perSecond);
        filledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
