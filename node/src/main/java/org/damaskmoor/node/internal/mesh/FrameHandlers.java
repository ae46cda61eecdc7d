package org.damaskmoor.node.internal.mesh;

import java.util.function.BiConsumer;
import java.util.function.ObjLongConsumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Handlers for frames, by kind. Each is called on the mesh event loop, must not block, and queues
 * the frame in the mailbox of its component. Immutable and thread-safe.
 *
 * @param entry frames about calls that this node sent
 * @param target frames about calls that this node received
 * @param loadProbe requests for this node's load
 * @param configuration frames about configuration
 * @param accounting frames about refusals
 * @param unsent frames that were certainly not sent
 * @param linkLost lost connections, with the time of their last use
 */
public record FrameHandlers(
        BiConsumer<MeshLink, MeshFrame> entry,
        BiConsumer<MeshLink, MeshFrame> target,
        BiConsumer<MeshLink, MeshFrame> loadProbe,
        BiConsumer<MeshLink, MeshFrame> configuration,
        BiConsumer<MeshLink, MeshFrame> accounting,
        UnsentHandler unsent,
        ObjLongConsumer<NodeId> linkLost) {

    /** Handles a frame that was certainly not sent. */
    @FunctionalInterface
    public interface UnsentHandler {
        /**
         * Handles a frame, given the peer that it was for and the refusal reason for its caller.
         */
        void accept(NodeId peer, MeshFrame frame, RefusalReason reason);
    }
}
