package org.damaskmoor.core.quota;

/**
 * Exponentially weighted rate of events. Not thread-safe.
 *
 * <p>Entries and coordinators use the same time constant, so that an entry can lower its share in
 * step with what its coordinator expects of it.
 */
final class DecayingRate {
    /** Shares follow demand within this time; two report intervals keep noise low enough. */
    static final double TIME_CONSTANT_MILLISECONDS = 500;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private double perSecond;
    private long updatedAt;

    DecayingRate(long now) {
        updatedAt = now;
    }

    void add(int events, long now) {
        perSecond = perSecond(now) + events * MILLISECONDS_PER_SECOND / TIME_CONSTANT_MILLISECONDS;
        updatedAt = Math.max(updatedAt, now);
    }

    double perSecond(long now) {
        long elapsed = Math.max(0, now - updatedAt);
        return perSecond * Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    }
}
