package org.damaskmoor.node.internal.mesh;

import java.util.function.BiConsumer;
import java.util.function.ObjLongConsumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Where frames go, by their kind. Each receiver is called on the mesh event loop, must not block,
 * and hands the frame to its own duty's ring. Immutable and thread-safe.
 *
 * @param entry frames about calls that this node sent
 * @param target frames about calls that this node received
 * @param loadProbe questions about this node's load
 * @param configuration frames about configuration
 * @param accounting frames about refusals
 * @param unsent frames that were certainly not sent
 * @param linkLost connections that are gone, and when they were used last
 */
public record FrameHandlers(
        BiConsumer<MeshLink, MeshFrame> entry,
        BiConsumer<MeshLink, MeshFrame> target,
        BiConsumer<MeshLink, MeshFrame> loadProbe,
        BiConsumer<MeshLink, MeshFrame> configuration,
        BiConsumer<MeshLink, MeshFrame> accounting,
        UnsentReceiver unsent,
        ObjLongConsumer<NodeId> linkLost) {

    /** Told of a frame that was certainly not sent. */
    @FunctionalInterface
    public interface UnsentReceiver {
        /** Takes the frame, the peer that it was for, and what a caller may be told. */
        void accept(NodeId peer, MeshFrame frame, RefusalReason reason);
    }
}
