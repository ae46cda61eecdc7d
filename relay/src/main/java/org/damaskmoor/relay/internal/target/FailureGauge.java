package org.damaskmoor.relay.internal.target;

/** Part of recent calls that failed at the upstream. Confined to the event loop. */
final class FailureGauge {
    private static final double NEWS_WEIGHT = 0.1;

    /** The rate halves in this time without news, in milliseconds, so that it is tried again. */
    private static final double HALF_LIFE_MILLISECONDS = 2000;

    private double rate;
    private long changedAt;

    void add(boolean failed, long now) {
        rate = at(now) + NEWS_WEIGHT * ((failed ? 1 : 0) - at(now));
        changedAt = now;
    }

    double at(long now) {
        return rate * Math.pow(0.5, (now - changedAt) / HALF_LIFE_MILLISECONDS);
    }
}
