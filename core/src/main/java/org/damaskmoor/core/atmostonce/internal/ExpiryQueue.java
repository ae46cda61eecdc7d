package org.damaskmoor.core.atmostonce.internal;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Orders ledger entries by their keep-until time.
 *
 * <p>Invariant: an entry is removed for good only when its run has ended and its current keep-until
 * time has passed. Each entry is in the queue once, or outside it until {@link #onRunEnded}. Not
 * thread-safe.
 */
final class ExpiryQueue {
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNanoseconds));

    void add(LedgerEntry entry) {
        entry.expiryPending = false;
        queue.add(new Due(entry.keepUntilNanoseconds, entry));
    }

    /** Requeues an entry whose keep-until time passed while it was still running. */
    void onRunEnded(LedgerEntry entry) {
        if (entry.expiryPending) {
            add(entry);
        }
    }

    void removeExpired(long nowNanoseconds, Consumer<LedgerEntry> remove) {
        while (!queue.isEmpty() && queue.peek().atNanoseconds() <= nowNanoseconds) {
            LedgerEntry entry = queue.remove().entry();
            if (entry.keepUntilNanoseconds > nowNanoseconds) {
                add(entry);
            } else if (!entry.run.state.isFinal()) {
                entry.expiryPending = true;
            } else {
                remove.accept(entry);
            }
        }
    }

    private record Due(long atNanoseconds, LedgerEntry entry) {}
}
