package org.damaskmoor.node.internal.time;

/**
 * Runs tasks later on an event loop.
 *
 * <p>Not thread-safe: use only on the thread of that loop.
 */
@FunctionalInterface
public interface Timers {
    /**
     * Runs the task after the delay, unless it is cancelled before.
     *
     * @param delayMilliseconds the delay, at least 0
     * @return cancels the task; has no effect after the task ran
     */
    Cancellation schedule(long delayMilliseconds, Runnable task);

    /** Cancels a task. */
    @FunctionalInterface
    interface Cancellation {
        /** Cancels the task; has no effect if it ran or was cancelled before. */
        void cancel();
    }
}
