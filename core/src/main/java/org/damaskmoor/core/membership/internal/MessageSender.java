package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * Puts the sender's part and as much news as fits into each message and sends it.
 *
 * <p>Invariant: sequences grow and are never used twice. Confined to the thread that drives the
 * protocol.
 */
final class MessageSender {
    /** What header and body need at most, in bytes. */
    private static final int RESERVED_BYTES = 250;

    private final MembershipView group;
    private final DatagramSender sender;
    private final GossipExtension extension;
    private long lastSequence;

    MessageSender(MembershipView group, DatagramSender sender, GossipExtension extension) {
        this.group = group;
        this.sender = sender;
        this.extension = extension;
    }

    /** Sends to a member, with news for its region; returns the sequence. */
    long send(Member to, GossipMessage.Builder message) {
        return send(to.address(), to, message);
    }

    /** Sends to an address where {@code to} was heard; null: nobody known. */
    long send(InetSocketAddress address, Member to, GossipMessage.Builder message) {
        int budget = group.settings.datagramBytes() - RESERVED_BYTES;
        if (to != null && to.record.getState() != MemberState.ALIVE) {
            message.addNews(to.record);
            budget -= to.record.getSerializedSize();
        }
        String region = to == null ? group.region() : to.record.getRegion();
        int size = group.table.presentIn(group.region()).size();
        group.spread.fill(message, region, budget, size);
        return sendWithoutPiggyback(address, message);
    }

    /** Sends a message whose body needs all of the datagram. */
    long sendWithoutPiggyback(InetSocketAddress address, GossipMessage.Builder message) {
        MemberRecord self = group.self;
        long sequence = ++lastSequence;
        message.setSender(self.getNodeId());
        message.setSenderIncarnation(self.getIncarnation());
        message.setSequence(sequence);
        message.setConfigurationDigest(extension.configurationDigest());
        sender.send(address, message.build());
        return sequence;
    }
}
