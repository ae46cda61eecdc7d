package org.damaskmoor.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * Settings of a node's mesh transport. Immutable and thread-safe.
 *
 * @param nodeId this node
 * @param incarnation this node's incarnation
 * @param listenAddress address on which this node accepts connections
 * @param maximumFrameBytes maximum frame size; a larger frame closes the connection
 * @param maximumQueuedFrames maximum number of frames that wait to be sent
 * @param connectTimeout timeout for opening a connection
 * @param silenceTimeout time without received frames after which a connection opened by this node
 *     is closed
 * @param tls TLS for both directions, or empty for plain TCP
 */
public record MeshSettings(
        NodeId nodeId,
        Incarnation incarnation,
        InetSocketAddress listenAddress,
        int maximumFrameBytes,
        int maximumQueuedFrames,
        Duration connectTimeout,
        Duration silenceTimeout,
        Optional<MeshTls> tls) {}
