package org.damaskmoor.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * What the mesh needs to know of this node. Immutable and thread-safe.
 *
 * @param nodeId this node
 * @param incarnation this start of the node
 * @param listenAddress where other nodes connect to
 * @param maximumFrameBytes longest frame; a longer one closes the connection
 * @param ringMessages most frames that wait to be sent
 * @param connectTimeout longest time to open a connection
 * @param silenceTimeout silence after which a connection with open requests is given up
 * @param security TLS for both directions, or empty for plain TCP
 */
public record MeshSettings(
        NodeId nodeId,
        Incarnation incarnation,
        InetSocketAddress listenAddress,
        int maximumFrameBytes,
        int ringMessages,
        Duration connectTimeout,
        Duration silenceTimeout,
        Optional<MeshTls> security) {}
