package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Carries frames from an entry node to a target, which may be the same node.
 *
 * <p>Thread-safe. A frame that was certainly not sent comes back through {@link
 * EntryDispatcher#onUnsent}.
 */
public interface TargetFrameSender {
    /** Sends a frame over the connection in use. */
    void send(NodeId target, MeshFrame frame);

    /**
     * Sends a frame over a connection that was opened or heard from after the given time, so that
     * it doesn't depend on one that may have gone silent.
     *
     * @param aliveAfterNanoseconds a time on the monotonic clock
     */
    void sendOverLiveConnection(NodeId target, MeshFrame frame, long aliveAfterNanoseconds);
}
