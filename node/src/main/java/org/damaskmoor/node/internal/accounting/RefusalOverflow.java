package org.damaskmoor.node.internal.accounting;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.damaskmoor.core.accounting.Refusal;
import org.damaskmoor.core.accounting.RefusalCounters;

/**
 * Counts the refusals that found the accounting ring full, each as a gap, and hands the counts over
 * once the accounting event loop has caught up.
 *
 * <p>Confined to the caller event loop. Invariants: each refusal is handed over once; memory is
 * bounded by folding callers; one hand-over is on its way at most.
 */
final class RefusalOverflow {
    private static final int MAXIMUM_KEYS = 4_096;

    private final Executor callers;
    private final Executor accounting;
    private final Consumer<RefusalCounters> receiver;
    private RefusalCounters ledger = new RefusalCounters(MAXIMUM_KEYS);
    private boolean announced;

    /**
     * An empty overflow.
     *
     * @param receiver takes the counts, on the accounting event loop
     */
    RefusalOverflow(Executor callers, Executor accounting, Consumer<RefusalCounters> receiver) {
        this.callers = callers;
        this.accounting = accounting;
        this.receiver = receiver;
    }

    void add(Refusal refusal) {
        ledger.add(refusal);
        ledger.addGap(refusal.epochMinute(), 1);
        if (!announced) {
            announced = true;
            accounting.execute(() -> callers.execute(this::transfer));
        }
    }

    /** Hands over what there is now. */
    void transfer() {
        announced = false;
        RefusalCounters counted = ledger;
        if (!counted.isEmpty()) {
            ledger = new RefusalCounters(MAXIMUM_KEYS);
            accounting.execute(() -> receiver.accept(counted));
        }
    }
}
