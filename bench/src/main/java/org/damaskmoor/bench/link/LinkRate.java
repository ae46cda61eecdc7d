package org.damaskmoor.bench.link;

/**
 * The limited transmission rate of a link: bytes are serialized one after the other.
 *
 * <p>Invariant: the bytes of one call are transmitted completely before those of the next. Thread
 * safe.
 */
public final class LinkRate {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;

    private long freeAtNanoseconds = Long.MIN_VALUE;

    /**
     * Sends the given number of bytes and returns when the last has been transmitted. A rate of 0
     * means no limit.
     */
    synchronized long send(long nowNanoseconds, int bytes, long bitsPerSecond) {
        if (bitsPerSecond == 0) {
            return nowNanoseconds;
        }
        long start = Math.max(nowNanoseconds, freeAtNanoseconds);
        freeAtNanoseconds = start + bytes * 8L * NANOSECONDS_PER_SECOND / bitsPerSecond;
        return freeAtNanoseconds;
    }
}
