package org.damaskmoor.core.accounting;

import java.util.List;
import java.util.Objects;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalGap;

/**
 * The sum of consecutive batches of one incarnation, from the first batch of a group on.
 *
 * <p>Invariant: two groups of an incarnation are disjoint or one contains the other, because only
 * the owner decides where a group starts, and every node sums from that start. Immutable and
 * thread-safe.
 *
 * @param owner the node that refused
 * @param incarnation the incarnation of that node
 * @param first sequence of the first batch
 * @param last sequence of the last batch
 * @param counts the sums
 * @param gaps refusals that were answered before a peer had stored them
 * @param folded refusals counted under {@link RefusalCounters#FOLDED}
 */
public record RefusalGroup(
        NodeId owner,
        Incarnation incarnation,
        long first,
        long last,
        List<RefusalCount> counts,
        List<RefusalGap> gaps,
        long folded) {
    public RefusalGroup {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(incarnation, "incarnation");
        if (first < 1 || last < first) {
            throw new IllegalArgumentException(
                    "A group covers at least one batch, but was " + first + " to " + last + ".");
        }
        counts = List.copyOf(counts);
        gaps = List.copyOf(gaps);
    }

    /** Returns the group as one batch that replaces the individual batches at a peer. */
    public RefusalBatch toBatch(long flushedThrough) {
        return RefusalBatch.newBuilder()
                .setNodeId(owner.value())
                .setIncarnation(incarnation.value())
                .setSequence(last)
                .setGroupFirstSequence(first)
                .setFirstSequence(first)
                .setFlushedThrough(flushedThrough)
                .addAllCounts(counts)
                .addAllGaps(gaps)
                .setFolded(folded)
                .build();
    }
}
