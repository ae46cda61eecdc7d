package org.damaskmoor.core.egress;

/** Exponentially decaying count of events, never below 0. Not thread-safe. */
final class DecayingCount {
    private final double timeConstantMilliseconds;
    private double count;
    private long updatedAt;

    DecayingCount(double timeConstantMilliseconds, long now) {
        this.timeConstantMilliseconds = timeConstantMilliseconds;
        this.updatedAt = now;
    }

    void add(double events, long now) {
        count = Math.max(0, value(now) + events);
        updatedAt = Math.max(updatedAt, now);
    }

    void multiply(double factor, long now) {
        count = value(now) * factor;
        updatedAt = Math.max(updatedAt, now);
    }

    double value(long now) {
        return count * Math.exp(-Math.max(0, now - updatedAt) / timeConstantMilliseconds);
    }
}
