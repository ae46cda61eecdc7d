package org.damaskmoor.core.queueing;

/**
 * Decides how fast calls may start on one upstream. Times are in milliseconds of one monotonic
 * clock. Implementations are not thread-safe.
 */
public interface StartPacer {
    /**
     * Expected wait of a call that starts after the given number of others, in milliseconds; 0 if
     * and only if it may start now.
     */
    double waitMilliseconds(int callsAhead, long now);

    /** Mean time between two starts under the limit in force, in milliseconds; 0 without one. */
    double intervalMilliseconds(long now);

    /** Counts the start of a call if one may start now; otherwise returns false. */
    boolean tryStart(long now);
}
