package org.damaskmoor.core.membership;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.GossipMessage;

/** Sends datagrams for the membership protocol. Called on the protocol thread; must not block. */
@FunctionalInterface
public interface DatagramSender {
    /**
     * Sends a message, which may be lost, duplicated or reordered.
     *
     * @param to destination address
     * @param message the message; at most {@link MembershipSettings#datagramBytes()} bytes long
     */
    void send(InetSocketAddress to, GossipMessage message);
}
