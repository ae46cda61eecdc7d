package org.damaskmoor.node.internal.mesh;

import java.util.function.Predicate;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * The link from this node's target proxy to its own entry proxy, without a connection.
 *
 * <p>Immutable and thread-safe.
 */
public final class LoopbackLink implements MeshLink {
    private final NodeId self;
    private final Incarnation incarnation;
    private final Predicate<MeshFrame> entry;

    /**
     * Creates a link that passes frames to the predicate, which returns false if the mailbox of the
     * entry proxy is full.
     */
    public LoopbackLink(NodeId self, Incarnation incarnation, Predicate<MeshFrame> entry) {
        this.self = self;
        this.incarnation = incarnation;
        this.entry = entry;
    }

    @Override
    public NodeId peer() {
        return self;
    }

    @Override
    public Incarnation incarnation() {
        return incarnation;
    }

    @Override
    public boolean send(MeshFrame frame) {
        return entry.test(frame);
    }
}
