package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Identifies one incarnation of a target node, so that messages about a previous incarnation are
 * never applied to the current one.
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

    @Override
    public boolean equals(Object other) {
        return other instanceof TargetId that
                && node.equals(that.node)
                && incarnation.equals(that.incarnation);
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + incarnation.hashCode();
    }
}
