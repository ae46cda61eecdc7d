package org.damaskmoor.node.internal.mesh;

import java.util.function.Predicate;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * The way from this node's target part back to its own entry part, without a connection.
 *
 * <p>Immutable and thread-safe.
 */
public final class LoopbackLink implements MeshLink {
    private final NodeId self;
    private final Incarnation incarnation;
    private final Predicate<MeshFrame> entry;

    /** Hands frames to the entry part; the predicate is false when its ring is full. */
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
