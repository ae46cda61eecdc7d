package org.damaskmoor.mesh;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Receives frames and failures of the mesh. All calls come from the mesh event loop; they must not
 * block.
 */
public interface MeshListener {
    /** A frame other than Hello was received. */
    void onFrame(MeshLink link, MeshFrame frame);

    /** A frame was not sent: it has not reached the peer and never will. */
    void onUnsent(NodeId peer, MeshFrame frame, MeshException cause);

    /**
     * A connection that this node opened was closed. Frames sent over it may or may not have
     * arrived.
     *
     * @param lastUsedNanoseconds time of the connection's last use on the monotonic clock; frames
     *     passed to the mesh later did not use it
     */
    void onLinkLost(NodeId peer, long lastUsedNanoseconds, MeshException cause);
}
