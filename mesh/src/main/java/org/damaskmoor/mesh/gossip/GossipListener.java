package org.damaskmoor.mesh.gossip;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.GossipMessage;

/** Receives gossip messages. Called on the transport's event loop; must not block. */
@FunctionalInterface
public interface GossipListener {
    /** Handles a message, for example by queueing it for the control thread. */
    void onMessage(GossipMessage message, InetSocketAddress from);
}
