package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * Sends messages: adds the sender's header and piggybacks as many updates as fit.
 *
 * <p>Invariant: sequence numbers increase and are never reused. Not thread-safe; used on the
 * protocol thread.
 */
final class MessageSender {
    /** Maximum size of the header and body, in bytes. */
    private static final int RESERVED_BYTES = 250;

    private final MembershipView view;
    private final DatagramSender sender;
    private final GossipExtension extension;
    private long lastSequence;

    MessageSender(MembershipView view, DatagramSender sender, GossipExtension extension) {
        this.view = view;
        this.sender = sender;
        this.extension = extension;
    }

    /** Sends to a member, with updates for its region; returns the sequence number. */
    long send(Member to, GossipMessage.Builder message) {
        return send(to.address(), to, message);
    }

    /**
     * Sends to an address; {@code to} is the member at that address, or null when it is unknown.
     * Returns the sequence number.
     */
    long send(InetSocketAddress address, Member to, GossipMessage.Builder message) {
        int budget = view.settings.datagramBytes() - RESERVED_BYTES;
        if (to != null && to.record.getState() != MemberState.ALIVE) {
            message.addNews(to.record);
            budget -= to.record.getSerializedSize();
        }
        String region = to == null ? view.region() : to.record.getRegion();
        int size = view.table.presentIn(view.region()).size();
        view.disseminator.fill(message, region, budget, size);
        return sendWithoutPiggyback(address, message);
    }

    /** Sends a message whose body may need the whole datagram, without piggybacked updates. */
    long sendWithoutPiggyback(InetSocketAddress address, GossipMessage.Builder message) {
        MemberRecord self = view.self;
        long sequence = ++lastSequence;
        message.setSender(self.getNodeId());
        message.setSenderIncarnation(self.getIncarnation());
        message.setSequence(sequence);
        message.setConfigurationDigest(extension.configurationDigest());
        sender.send(address, message.build());
        return sequence;
    }
}
