package org.damaskmoor.relay.internal.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.FleetMember;

/**
 * Remembers which nodes have left, so that their records are recognized when the store has returned
 * from an older copy that still holds them.
 *
 * <p>Confined to the event loop. Invariants: a record is taken for one that has returned only if
 * its node left before the last restore, in the same incarnation or a later one; at most {@link
 * #MAX_NODES} nodes are remembered, the most recent ones.
 */
final class FormerMembers {
    /** More than the nodes of a fleet that leave within the age of a copy. */
    private static final int MAX_NODES = 4096;

    private final Map<NodeId, Long> left = new LinkedHashMap<>();
    private Map<NodeId, Long> leftBeforeRestore = Map.of();

    /** A node has left; its last record is given. */
    void onLeft(NodeId node, FleetMember record) {
        left.remove(node);
        left.put(node, record.getIncarnation());
        if (left.size() > MAX_NODES) {
            left.remove(left.keySet().iterator().next());
        }
    }

    /** A node is a member again. */
    void onJoined(NodeId node) {
        left.remove(node);
    }

    /** The store has returned from an older copy. */
    void onStoreRestored() {
        leftBeforeRestore = new HashMap<>(left);
    }

    /** Whether the record is one that was removed and has returned with an older copy. */
    boolean hasReturned(FleetMember record) {
        if (record.getNodeId().isEmpty()) {
            return false;
        }
        Long incarnation = leftBeforeRestore.get(new NodeId(record.getNodeId()));
        return incarnation != null && record.getIncarnation() <= incarnation;
    }
}
