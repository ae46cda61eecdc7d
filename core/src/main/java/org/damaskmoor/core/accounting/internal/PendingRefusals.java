package org.damaskmoor.core.accounting.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.accounting.RefusalDurability;

/**
 * The refusals whose batches are not stored by a peer yet, oldest first.
 *
 * <p>Invariant: each ticket is completed once, after it was removed. Not thread-safe.
 */
public final class PendingRefusals {
    /**
     * One refusal that is not answered yet.
     *
     * @param epochMinute the refusal's minute
     * @param durability completed when the refusal may be answered
     */
    public record Ticket(long epochMinute, CompletableFuture<RefusalDurability> durability) {}

    private static final class Batch {
        private final long sequence;
        private final long groupFirst;
        private final long openedNanoseconds;
        private final List<Ticket> tickets;

        private Batch(
                long sequence, long groupFirst, long openedNanoseconds, List<Ticket> tickets) {
            this.sequence = sequence;
            this.groupFirst = groupFirst;
            this.openedNanoseconds = openedNanoseconds;
            this.tickets = tickets;
        }
    }

    private final ArrayDeque<Batch> batches = new ArrayDeque<>();
    private int size;

    /** Adds the tickets of a batch. */
    public void add(long sequence, long groupFirst, long openedNanoseconds, List<Ticket> tickets) {
        if (tickets.isEmpty()) {
            return;
        }
        batches.add(new Batch(sequence, groupFirst, openedNanoseconds, tickets));
        size += tickets.size();
    }

    /** Returns the number of refusals. */
    public int size() {
        return size;
    }

    /**
     * Removes and returns the tickets that a peer stored: the batches of a group up to a sequence.
     */
    public List<Ticket> takeStored(long groupFirst, long sequence) {
        List<Ticket> removed = new ArrayList<>();
        Iterator<Batch> iterator = batches.iterator();
        while (iterator.hasNext()) {
            Batch batch = iterator.next();
            if (batch.groupFirst == groupFirst && batch.sequence <= sequence) {
                iterator.remove();
                removed.addAll(batch.tickets);
            }
        }
        size -= removed.size();
        return removed;
    }

    /** Removes and returns the tickets of batches that were opened at least that long ago. */
    public List<Ticket> takeOlderThan(long nanoseconds, long nowNanoseconds) {
        List<Ticket> removed = new ArrayList<>();
        while (!batches.isEmpty()
                && nowNanoseconds - batches.peek().openedNanoseconds >= nanoseconds) {
            removed.addAll(batches.remove().tickets);
        }
        size -= removed.size();
        return removed;
    }
}
