package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Names one incarnation of a target node, so that news of a former one never counts for the next.
 *
 * <p>Immutable and thread-safe.
 */
public record TargetId(NodeId node, Incarnation incarnation) {
    public TargetId {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    @Override
    public String toString() {
        return node + "/" + incarnation;
    }
}
