package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.damaskmoor.schema.gossip.Acknowledgement;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.NegativeAcknowledgement;
import org.damaskmoor.schema.gossip.Ping;
import org.damaskmoor.schema.gossip.PingRequest;

/**
 * Probes made on behalf of others. When the target does not answer in time the asker is told so: it
 * then knows that its own link works (Lifeguard).
 *
 * <p>Invariant: each request is answered at most once with a negative acknowledgement. Confined to
 * the thread that drives the protocol.
 */
final class IndirectProbes {
    private static final int MOST_AT_ONCE = 1_000;

    private final MembershipView group;
    private final Map<Long, Relay> bySequence = new HashMap<>();

    private record Relay(
            InetSocketAddress asker, Member askingMember, PingRequest request, long deadline) {}

    IndirectProbes(MembershipView group) {
        this.group = group;
    }

    void onRequest(
            PingRequest request, InetSocketAddress asker, Member member, long nowMilliseconds) {
        Member target = group.table.find(request.getTarget());
        if (target == null || bySequence.size() >= MOST_AT_ONCE) {
            return;
        }
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        long sequence = group.outbox.send(target, GossipMessage.newBuilder().setPing(ping));
        long deadline = nowMilliseconds + group.settings.probeTimeoutMilliseconds();
        bySequence.put(sequence, new Relay(asker, member, request, deadline));
    }

    void onAcknowledgement(Acknowledgement acknowledgement) {
        Relay relay = bySequence.remove(acknowledgement.getOfSequence());
        if (relay != null) {
            Acknowledgement.Builder forwarded =
                    Acknowledgement.newBuilder()
                            .setTarget(relay.request.getTarget())
                            .setOfSequence(relay.request.getSequence());
            send(relay, GossipMessage.newBuilder().setAcknowledgement(forwarded));
        }
    }

    void tick(long nowMilliseconds) {
        Iterator<Relay> relays = bySequence.values().iterator();
        while (relays.hasNext()) {
            Relay relay = relays.next();
            if (nowMilliseconds >= relay.deadline) {
                relays.remove();
                NegativeAcknowledgement.Builder silent =
                        NegativeAcknowledgement.newBuilder()
                                .setTarget(relay.request.getTarget())
                                .setOfSequence(relay.request.getSequence());
                send(relay, GossipMessage.newBuilder().setNegativeAcknowledgement(silent));
            }
        }
    }

    private void send(Relay relay, GossipMessage.Builder message) {
        group.outbox.send(relay.asker, relay.askingMember, message);
    }
}
