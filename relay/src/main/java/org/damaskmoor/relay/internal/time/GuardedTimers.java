package org.damaskmoor.relay.internal.time;

import org.damaskmoor.relay.internal.log.EventLog;

/**
 * Timers whose tasks may fail: a failure is logged and ends only that task.
 *
 * <p>Confined to the event loop. Invariant: a repeated task is run again after it failed.
 */
public final class GuardedTimers implements Timers {
    private final Timers timers;
    private final EventLog log;

    public GuardedTimers(Timers timers, EventLog log) {
        this.timers = timers;
        this.log = log;
    }

    @Override
    public long now() {
        return timers.now();
    }

    @Override
    public Cancellation schedule(long milliseconds, Runnable task) {
        return timers.schedule(milliseconds, () -> run(task));
    }

    @Override
    public void execute(Runnable task) {
        timers.execute(() -> run(task));
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            log.event("task-failed").with("cause", failure).with("at", place(failure)).write();
        }
    }

    private static String place(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return trace.length == 0 ? "unknown" : trace[0].toString();
    }
}
