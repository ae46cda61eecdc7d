package org.damaskmoor.node.internal.time;

/**
 * Runs tasks later on the thread of a duty.
 *
 * <p>Not thread-safe: used on that thread only.
 */
@FunctionalInterface
public interface Timers {
    /**
     * Runs the task after the delay, unless it is cancelled before.
     *
     * @param delayMilliseconds the delay, at least 0
     * @return cancels the task; harmless after it ran
     */
    Cancellation schedule(long delayMilliseconds, Runnable task);

    /** Cancels a task. */
    @FunctionalInterface
    interface Cancellation {
        /** Cancels the task; harmless when it ran or was cancelled before. */
        void cancel();
    }
}
