package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Identifies one request of a caller across all of its attempts.
 *
 * <p>Invariant: unique in the whole system, because an incarnation of a node uses each sequence
 * number once. Immutable and thread-safe.
 *
 * @param entryNode the node that received the request from its caller
 * @param entryIncarnation the incarnation of that node
 * @param sequence the number of the request within that incarnation
 */
public record RequestId(NodeId entryNode, Incarnation entryIncarnation, long sequence) {
    public RequestId {
        Objects.requireNonNull(entryNode, "entryNode");
        Objects.requireNonNull(entryIncarnation, "entryIncarnation");
    }

    @Override
    public String toString() {
        return entryNode + "/" + entryIncarnation + "/" + sequence;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestId that
                && sequence == that.sequence
                && entryNode.equals(that.entryNode)
                && entryIncarnation.equals(that.entryIncarnation);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(sequence) + entryNode.hashCode())
                + entryIncarnation.hashCode();
    }
}
