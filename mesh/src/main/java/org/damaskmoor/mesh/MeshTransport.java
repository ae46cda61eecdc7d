package org.damaskmoor.mesh;

import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Carries frames between nodes over TCP, one connection for each peer that this node calls.
 *
 * <p>Example:
 *
 * <pre>{@code
 * MeshTransport mesh = new NettyMeshTransport(settings, listener, ChannelCustomizer.NONE);
 * mesh.start().join();
 * mesh.send(peer, MeshFrame.newBuilder().setCall(call).build());
 * }</pre>
 *
 * <p>Thread-safe. Each frame given to {@link #send} ends in exactly one of: written to an open
 * connection, or {@link MeshListener#onUnsent}.
 */
public interface MeshTransport {
    /** Sends a frame over the current connection to the peer, opening one when there is none. */
    void send(MeshPeer peer, MeshFrame frame);

    /**
     * Sends a frame over a connection that was opened or heard from after the given time, opening
     * one when there is none; it then replaces the current one. For frames that must not depend on
     * a connection that may have gone silent.
     *
     * @param aliveAfterNanoseconds a time on the monotonic clock
     */
    void sendOverLiveConnection(MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds);
}
