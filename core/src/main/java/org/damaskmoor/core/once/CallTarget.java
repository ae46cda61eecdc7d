package org.damaskmoor.core.once;

import java.util.Objects;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * The one start of a node that an attempt is meant for.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the target node
 * @param incarnation its incarnation, as its connection told it
 */
public record CallTarget(NodeId node, Incarnation incarnation) {
    public CallTarget {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
