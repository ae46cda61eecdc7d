package org.damaskmoor.core.revocation;

/**
 * A reading of both clocks of this node. Immutable and thread-safe.
 *
 * @param monotonicMilliseconds the monotonic clock, which stops while the VM is suspended
 * @param epochMilliseconds the time of day, which goes on and may be set
 */
public record OwnTime(long monotonicMilliseconds, long epochMilliseconds) {
    /**
     * How far the time of day is ahead of the monotonic clock; constant unless one of them jumps.
     */
    long offsetMilliseconds() {
        return epochMilliseconds - monotonicMilliseconds;
    }
}
