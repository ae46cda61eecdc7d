package org.damaskmoor.mesh;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * One open connection to another node, over which frames can be sent back.
 *
 * <p>Thread-safe: {@link #send} may be called from any thread.
 */
public interface MeshLink {
    /** Returns the node at the other end, as named in its Hello frame. */
    NodeId peer();

    /** Returns the incarnation of the node at the other end. */
    Incarnation incarnation();

    /**
     * Sends a frame over this connection.
     *
     * @return false if the connection is closed or its write buffer is full; the frame was not sent
     */
    boolean send(MeshFrame frame);
}
