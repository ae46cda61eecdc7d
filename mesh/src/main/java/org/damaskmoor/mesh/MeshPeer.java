package org.damaskmoor.mesh;

import java.net.InetSocketAddress;
import org.damaskmoor.core.id.NodeId;

/**
 * Another node and its mesh address. Immutable and thread-safe.
 *
 * @param nodeId the node
 * @param address its mesh address
 */
public record MeshPeer(NodeId nodeId, InetSocketAddress address) {}
