package org.damaskmoor.core.accounting.internal;

import org.damaskmoor.core.accounting.RefusalCounters;
import org.damaskmoor.core.accounting.RefusalGroup;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;

/**
 * The sum of an incarnation's batches since its group was opened, extended batch by batch.
 *
 * <p>Invariant: covers the sequences {@code first} to {@code last} without a missing batch. Not
 * thread-safe.
 */
public final class OpenGroup {
    private final NodeId owner;
    private final Incarnation incarnation;
    private final long first;
    private final int maximumKeys;
    private RefusalCounters counters;
    private long last;

    public OpenGroup(NodeId owner, Incarnation incarnation, long first, int maximumKeys) {
        this.owner = owner;
        this.incarnation = incarnation;
        this.first = first;
        this.maximumKeys = maximumKeys;
        counters = new RefusalCounters(maximumKeys);
        last = first - 1;
    }

    public long first() {
        return first;
    }

    public long last() {
        return last;
    }

    public boolean isEmpty() {
        return last < first;
    }

    public int size() {
        return counters.size();
    }

    /**
     * Adds a batch. Returns {@code false} if batches before it are missing, so that it was not
     * added; a batch that is already covered changes nothing.
     */
    public boolean append(RefusalBatch batch) {
        if (batch.getSequence() <= last) {
            return true;
        }
        if (batch.getFirstSequence() == first) {
            counters = new RefusalCounters(maximumKeys);
        } else if (batch.getFirstSequence() != last + 1) {
            return false;
        }
        counters.addAll(batch.getCountsList(), batch.getGapsList(), batch.getFolded());
        last = batch.getSequence();
        return true;
    }

    /** Returns the current state of the group. */
    public RefusalGroup snapshot() {
        return new RefusalGroup(
                owner,
                incarnation,
                first,
                last,
                counters.counts(),
                counters.gaps(),
                counters.folded());
    }
}
