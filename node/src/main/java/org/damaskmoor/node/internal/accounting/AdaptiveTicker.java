package org.damaskmoor.node.internal.accounting;

import java.util.function.BooleanSupplier;
import org.damaskmoor.node.internal.time.Timers;

/**
 * Runs a task again and again: every millisecond while something is open, else seldom.
 *
 * <p>Confined to the event loop of its timers. Invariant: one run is scheduled at any time.
 */
final class AdaptiveTicker {
    static final long OPEN_MILLISECONDS = 1;
    static final long IDLE_MILLISECONDS = 25;

    private final Timers timers;
    private final BooleanSupplier open;
    private final Runnable task;
    private Timers.Cancellation next = () -> {};
    private boolean soon;

    AdaptiveTicker(Timers timers, BooleanSupplier open, Runnable task) {
        this.timers = timers;
        this.open = open;
        this.task = task;
    }

    void start() {
        schedule();
    }

    /** Something may have been opened: the next run comes in a millisecond then. */
    void wake() {
        if (!soon && open.getAsBoolean()) {
            next.cancel();
            schedule();
        }
    }

    private void schedule() {
        soon = open.getAsBoolean();
        next = timers.schedule(soon ? OPEN_MILLISECONDS : IDLE_MILLISECONDS, this::run);
    }

    private void run() {
        try {
            task.run();
        } finally {
            schedule();
        }
    }
}
