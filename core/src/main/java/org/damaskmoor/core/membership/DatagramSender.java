package org.damaskmoor.core.membership;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.GossipMessage;

/** Sends one datagram. Called on the thread that drives the protocol; must not block. */
@FunctionalInterface
public interface DatagramSender {
    /**
     * Sends a message that may be lost, doubled or overtaken.
     *
     * @param to where to
     * @param message what; at most {@link MembershipSettings#datagramBytes()} bytes long
     */
    void send(InetSocketAddress to, GossipMessage message);
}
