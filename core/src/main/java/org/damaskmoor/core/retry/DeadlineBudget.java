package org.damaskmoor.core.retry;

import java.util.concurrent.TimeUnit;

/**
 * The time left until a caller's deadline. Every hop subtracts its own time, so that nodes do not
 * need synchronized clocks.
 *
 * <p>Invariant: not negative. Immutable and thread-safe.
 *
 * @param remainingNanoseconds the time left
 */
public record DeadlineBudget(long remainingNanoseconds) {
    public DeadlineBudget {
        remainingNanoseconds = Math.max(0, remainingNanoseconds);
    }

    /** Returns the budget for a frame or header field of this many milliseconds. */
    public static DeadlineBudget ofMilliseconds(long milliseconds) {
        return new DeadlineBudget(TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }

    /** Returns the time left until a deadline on this node's clock. */
    public static DeadlineBudget until(long deadlineNanoseconds, long nowNanoseconds) {
        return new DeadlineBudget(deadlineNanoseconds - nowNanoseconds);
    }

    /** Returns the budget for the next hop after subtracting the time that this hop uses. */
    public DeadlineBudget minus(long nanoseconds) {
        return new DeadlineBudget(remainingNanoseconds - nanoseconds);
    }

    /** Returns the deadline on this node's clock. */
    public long deadlineNanoseconds(long nowNanoseconds) {
        return nowNanoseconds + remainingNanoseconds;
    }

    /** Returns the value for a frame or header field, rounded down so that no hop adds time. */
    public int toMilliseconds() {
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(remainingNanoseconds);
        return (int) Math.min(Integer.MAX_VALUE, milliseconds);
    }

    /** Whether less than a millisecond is left, too little to be sent on. */
    public boolean isExhausted() {
        return toMilliseconds() == 0;
    }
}
