package org.damaskmoor.core.accounting.internal;

import org.damaskmoor.core.accounting.RefusalCounters;
import org.damaskmoor.core.accounting.RefusalGroup;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;

/**
 * The sum of an incarnation's batches since its group began; grows batch by batch.
 *
 * <p>Invariant: covers the sequences {@code first} to {@code last} without a hole. Not thread-safe.
 */
public final class OpenGroup {
    private final NodeId owner;
    private final Incarnation incarnation;
    private final long first;
    private final int maximumKeys;
    private RefusalCounters ledger;
    private long last;

    public OpenGroup(NodeId owner, Incarnation incarnation, long first, int maximumKeys) {
        this.owner = owner;
        this.incarnation = incarnation;
        this.first = first;
        this.maximumKeys = maximumKeys;
        ledger = new RefusalCounters(maximumKeys);
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
        return ledger.size();
    }

    /**
     * Takes a batch in. {@code false}: batches before it are missing, so it was not taken; a batch
     * that is covered already changes nothing.
     */
    public boolean append(RefusalBatch batch) {
        if (batch.getSequence() <= last) {
            return true;
        }
        if (batch.getFirstSequence() == first) {
            ledger = new RefusalCounters(maximumKeys);
        } else if (batch.getFirstSequence() != last + 1) {
            return false;
        }
        ledger.addAll(batch.getCountsList(), batch.getGapsList(), batch.getFolded());
        last = batch.getSequence();
        return true;
    }

    /** The group as it is now. */
    public RefusalGroup snapshot() {
        return new RefusalGroup(
                owner, incarnation, first, last, ledger.counts(), ledger.gaps(), ledger.folded());
    }
}
