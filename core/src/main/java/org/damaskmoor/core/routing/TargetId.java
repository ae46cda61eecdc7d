package org.damaskmoor.core.routing;

import java.util.Objects;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

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
