package org.damaskmoor.core.atmostonce.internal;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Orders entries by the time until which they are kept.
 *
 * <p>Invariant: an entry is handed out only when its run has ended and its keep-until time, as it
 * stands then, has passed. Each entry is in the queue once, or waits for {@link #onRunEnded}. Not
 * thread-safe.
 */
final class ExpiryQueue {
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNanoseconds));

    void add(LedgerEntry entry) {
        entry.expiryPending = false;
        queue.add(new Due(entry.keepUntilNanoseconds, entry));
    }

    /** Puts an entry back that had outlived its time while it was still running. */
    void onRunEnded(LedgerEntry entry) {
        if (entry.expiryPending) {
            add(entry);
        }
    }

    void removeExpired(long nowNanoseconds, Consumer<LedgerEntry> drop) {
        while (!queue.isEmpty() && queue.peek().atNanoseconds() <= nowNanoseconds) {
            LedgerEntry entry = queue.remove().entry();
            if (entry.keepUntilNanoseconds > nowNanoseconds) {
                add(entry);
            } else if (!entry.run.state.isFinal()) {
                entry.expiryPending = true;
            } else {
                drop.accept(entry);
            }
        }
    }

    private record Due(long atNanoseconds, LedgerEntry entry) {}
}
