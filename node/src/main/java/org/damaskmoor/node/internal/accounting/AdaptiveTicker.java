package org.damaskmoor.node.internal.accounting;

import java.util.function.BooleanSupplier;
import org.damaskmoor.node.internal.time.Timers;

/**
 * Runs a task periodically: every millisecond while work is pending, at a longer interval
 * otherwise.
 *
 * <p>Confined to the event loop of its timers. Invariant: exactly one run is scheduled at any time.
 */
final class AdaptiveTicker {
    static final long BUSY_INTERVAL_MILLISECONDS = 1;
    static final long IDLE_INTERVAL_MILLISECONDS = 25;

    private final Timers timers;
    private final BooleanSupplier busy;
    private final Runnable task;
    private Timers.Cancellation next = () -> {};
    private boolean busyScheduled;

    AdaptiveTicker(Timers timers, BooleanSupplier busy, Runnable task) {
        this.timers = timers;
        this.busy = busy;
        this.task = task;
    }

    void start() {
        schedule();
    }

    /** Switches to the short interval if work is pending now. */
    void wake() {
        if (!busyScheduled && busy.getAsBoolean()) {
            next.cancel();
            schedule();
        }
    }

    private void schedule() {
        busyScheduled = busy.getAsBoolean();
        next =
                timers.schedule(
                        busyScheduled ? BUSY_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS,
                        this::run);
    }

    private void run() {
        try {
            task.run();
        } finally {
            schedule();
        }
    }
}
