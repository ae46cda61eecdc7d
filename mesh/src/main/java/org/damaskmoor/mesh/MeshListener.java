package org.damaskmoor.mesh;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Receives what happens on the mesh. All calls come from the mesh event loop; they must not block.
 */
public interface MeshListener {
    /** A frame other than the first one arrived. */
    void onFrame(MeshLink link, MeshFrame frame);

    /** A frame was certainly not sent: it did not reach the peer and never will. */
    void onUnsent(NodeId peer, MeshFrame frame, MeshException cause);

    /**
     * A connection that this node opened is gone. Frames sent over it may or may not have arrived.
     *
     * @param lastUsedNanoseconds frames given to the mesh later than this, on the monotonic clock,
     *     did not use the connection
     */
    void onLinkLost(NodeId peer, long lastUsedNanoseconds, MeshException cause);
}
