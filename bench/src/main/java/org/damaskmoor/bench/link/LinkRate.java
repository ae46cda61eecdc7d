package org.damaskmoor.bench.link;

/**
 * What a narrow link can carry: bytes leave one after the other.
 *
 * <p>Invariant: the bytes of one call have left before those of the next start. Thread safe.
 */
public final class LinkRate {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;

    private long freeAtNanoseconds = Long.MIN_VALUE;

    /** Sends so many bytes; returns when the last has left. A rate of 0 is no limit. */
    synchronized long send(long nowNanoseconds, int bytes, long bitsPerSecond) {
        if (bitsPerSecond == 0) {
            return nowNanoseconds;
        }
        long start = Math.max(nowNanoseconds, freeAtNanoseconds);
        freeAtNanoseconds = start + bytes * 8L * NANOSECONDS_PER_SECOND / bitsPerSecond;
        return freeAtNanoseconds;
    }
}
