package org.damaskmoor.mesh;

import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Sends frames to other nodes over TCP, with one connection for each peer that this node calls.
 *
 * <p>Example:
 *
 * <pre>{@code
 * MeshTransport mesh = new NettyMeshTransport(settings, listener, ChannelCustomizer.NONE);
 * mesh.start().join();
 * mesh.send(peer, MeshFrame.newBuilder().setCall(call).build());
 * }</pre>
 *
 * <p>Thread-safe. Each frame passed to {@link #send} is either written to an open connection or
 * reported to {@link MeshListener#onUnsent}.
 */
public interface MeshTransport {
    /** Sends a frame over the current connection to the peer; opens one if there is none. */
    void send(MeshPeer peer, MeshFrame frame);

    /**
     * Sends a frame over a connection that was opened or received data after the given time. If
     * there is none, opens one, which replaces the current one. For frames that must not depend on
     * a connection that may be dead.
     *
     * @param aliveAfterNanoseconds a time on the monotonic clock
     */
    void sendOverLiveConnection(MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds);
}
