package org.damaskmoor.relay.internal.link;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * Identifies the entry at the other end of a link. Immutable and thread-safe.
 *
 * @param node the entry node
 * @param incarnation the incarnation of the node
 */
public record EntryId(NodeId node, Incarnation incarnation) {

    @Override
    public boolean equals(Object other) {
        return other instanceof EntryId that
                && node.equals(that.node)
                && incarnation.equals(that.incarnation);
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + incarnation.hashCode();
    }
}
