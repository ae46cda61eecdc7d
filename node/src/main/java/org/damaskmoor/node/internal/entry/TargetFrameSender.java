package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Sends frames from an entry node to a target, which may be on the same node.
 *
 * <p>Thread-safe. A frame that was certainly not sent is returned through {@link
 * EntryDispatcher#onUnsent}.
 */
public interface TargetFrameSender {
    /** Sends a frame over the current connection. */
    void send(NodeId target, MeshFrame frame);

    /**
     * Sends a frame over a connection that was opened or received data after the given time, so
     * that delivery doesn't depend on a connection that may have stalled.
     *
     * @param aliveAfterNanoseconds a time on the monotonic clock
     */
    void sendOverLiveConnection(NodeId target, MeshFrame frame, long aliveAfterNanoseconds);
}
