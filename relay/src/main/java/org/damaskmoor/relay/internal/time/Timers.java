package org.damaskmoor.relay.internal.time;

/** Runs tasks later, on the event loop. Confined to the event loop. */
public interface Timers {
    /** Takes a task back. */
    @FunctionalInterface
    interface Cancellation {
        void cancel();
    }

    /** The monotonic clock, in milliseconds. */
    long now();

    /** Runs the task after a delay in milliseconds. */
    Cancellation schedule(long milliseconds, Runnable task);

    /** Runs the task soon, after what runs now. */
    void execute(Runnable task);
}
