package org.damaskmoor.mesh.gossip;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.GossipMessage;

/** Hears datagrams. Called on the transport's event loop; must not block. */
@FunctionalInterface
public interface GossipListener {
    /** Takes a message, for example into the ring of the control thread. */
    void onMessage(GossipMessage message, InetSocketAddress from);
}
