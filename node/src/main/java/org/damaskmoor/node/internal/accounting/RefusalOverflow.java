package org.damaskmoor.node.internal.accounting;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.damaskmoor.core.accounting.Refusal;
import org.damaskmoor.core.accounting.RefusalCounters;

/**
 * Counts the refusals that found the accounting mailbox full, each as a gap, and transfers the
 * counts once the accounting event loop has caught up.
 *
 * <p>Confined to the caller event loop. Invariants: each refusal is transferred once; the memory is
 * bounded, because callers are folded together beyond a limit; at most one transfer is scheduled.
 */
final class RefusalOverflow {
    private static final int MAXIMUM_KEYS = 4_096;

    private final Executor callers;
    private final Executor accounting;
    private final Consumer<RefusalCounters> receiver;
    private RefusalCounters counters = new RefusalCounters(MAXIMUM_KEYS);
    private boolean transferScheduled;

    /**
     * Creates an empty overflow.
     *
     * @param receiver receives the counts, on the accounting event loop
     */
    RefusalOverflow(Executor callers, Executor accounting, Consumer<RefusalCounters> receiver) {
        this.callers = callers;
        this.accounting = accounting;
        this.receiver = receiver;
    }

    void add(Refusal refusal) {
        counters.add(refusal);
        counters.addGap(refusal.epochMinute(), 1);
        if (!transferScheduled) {
            transferScheduled = true;
            accounting.execute(() -> callers.execute(this::transfer));
        }
    }

    /** Transfers the current counts. */
    void transfer() {
        transferScheduled = false;
        RefusalCounters counted = counters;
        if (!counted.isEmpty()) {
            counters = new RefusalCounters(MAXIMUM_KEYS);
            accounting.execute(() -> receiver.accept(counted));
        }
    }
}
