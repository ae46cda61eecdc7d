package org.damaskmoor.relay.internal.time;

/** Schedules tasks on the event loop. Confined to the event loop. */
public interface Timers {
    /** Cancels a scheduled task. */
    @FunctionalInterface
    interface Cancellation {
        void cancel();
    }

    /** The monotonic clock, in milliseconds. */
    long now();

    /** Runs the task after a delay in milliseconds. */
    Cancellation schedule(long milliseconds, Runnable task);

    /**
     * Runs the task again and again, each time after a delay in milliseconds; a task that fails is
     * run again like any other.
     */
    default void repeat(long milliseconds, Runnable task) {
        schedule(
                milliseconds,
                () -> {
                    repeat(milliseconds, task);
                    task.run();
                });
    }

    /** Runs the task soon, after the current one. */
    void execute(Runnable task);
}
