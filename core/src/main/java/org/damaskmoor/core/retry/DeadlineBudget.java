package org.damaskmoor.core.retry;

import java.util.concurrent.TimeUnit;

/**
 * What is left of a caller's patience. Every hop subtracts its own time, so that no clock needs to
 * be shared between nodes.
 *
 * <p>Invariant: never negative. Immutable and thread-safe.
 *
 * @param remainingNanoseconds the time left
 */
public record DeadlineBudget(long remainingNanoseconds) {
    public DeadlineBudget {
        remainingNanoseconds = Math.max(0, remainingNanoseconds);
    }

    /** The budget that a frame or header field of this many milliseconds carries. */
    public static DeadlineBudget ofMilliseconds(long milliseconds) {
        return new DeadlineBudget(TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }

    /** What is left of a deadline on this node's clock. */
    public static DeadlineBudget until(long deadlineNanoseconds, long nowNanoseconds) {
        return new DeadlineBudget(deadlineNanoseconds - nowNanoseconds);
    }

    /** The budget for the next hop, when this one has used or will use so much. */
    public DeadlineBudget minus(long nanoseconds) {
        return new DeadlineBudget(remainingNanoseconds - nanoseconds);
    }

    /** The deadline on this node's clock. */
    public long deadlineNanoseconds(long nowNanoseconds) {
        return nowNanoseconds + remainingNanoseconds;
    }

    /** What goes into a frame or header field; rounded down, so that no hop adds time. */
    public int toMilliseconds() {
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(remainingNanoseconds);
        return (int) Math.min(Integer.MAX_VALUE, milliseconds);
    }

    /** Whether too little is left to be sent on. */
    public boolean isExhausted() {
        return toMilliseconds() == 0;
    }
}
