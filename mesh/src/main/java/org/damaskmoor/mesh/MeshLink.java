package org.damaskmoor.mesh;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * One open connection to another node, on which frames can be answered.
 *
 * <p>Thread-safe: {@link #send} may be called from any thread.
 */
public interface MeshLink {
    /** The node at the other end, as it named itself in its first frame. */
    NodeId peer();

    /** The incarnation of the node at the other end. */
    Incarnation incarnation();

    /**
     * Sends a frame over this connection.
     *
     * @return false when the connection is closed or the ring is full, and nothing was sent
     */
    boolean send(MeshFrame frame);
}
