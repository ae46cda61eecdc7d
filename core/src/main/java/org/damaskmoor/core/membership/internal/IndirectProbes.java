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
 * Probes members on behalf of others (SWIM ping requests). When the target does not answer in time,
 * the requester gets a negative acknowledgement, which shows that its own network works
 * (Lifeguard).
 *
 * <p>Invariant: each request gets at most one negative acknowledgement. Not thread-safe; used on
 * the protocol thread.
 */
final class IndirectProbes {
    private static final int MAX_PENDING = 1_000;

    private final MembershipView view;
    private final Map<Long, PendingProbe> bySequence = new HashMap<>();

    private record PendingProbe(
            InetSocketAddress requester,
            Member requestingMember,
            PingRequest request,
            long deadline) {}

    IndirectProbes(MembershipView view) {
        this.view = view;
    }

    void onRequest(
            PingRequest request, InetSocketAddress requester, Member member, long nowMilliseconds) {
        Member target = view.table.find(request.getTarget());
        if (target == null || bySequence.size() >= MAX_PENDING) {
            return;
        }
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        long sequence = view.messageSender.send(target, GossipMessage.newBuilder().setPing(ping));
        long deadline = nowMilliseconds + view.settings.probeTimeoutMilliseconds();
        bySequence.put(sequence, new PendingProbe(requester, member, request, deadline));
    }

    void onAcknowledgement(Acknowledgement acknowledgement) {
        PendingProbe pending = bySequence.remove(acknowledgement.getOfSequence());
        if (pending != null) {
            Acknowledgement.Builder forwarded =
                    Acknowledgement.newBuilder()
                            .setTarget(pending.request.getTarget())
                            .setOfSequence(pending.request.getSequence());
            send(pending, GossipMessage.newBuilder().setAcknowledgement(forwarded));
        }
    }

    void tick(long nowMilliseconds) {
        Iterator<PendingProbe> probes = bySequence.values().iterator();
        while (probes.hasNext()) {
            PendingProbe pending = probes.next();
            if (nowMilliseconds >= pending.deadline) {
                probes.remove();
                NegativeAcknowledgement.Builder negative =
                        NegativeAcknowledgement.newBuilder()
                                .setTarget(pending.request.getTarget())
                                .setOfSequence(pending.request.getSequence());
                send(pending, GossipMessage.newBuilder().setNegativeAcknowledgement(negative));
            }
        }
    }

    private void send(PendingProbe pending, GossipMessage.Builder message) {
        view.messageSender.send(pending.requester, pending.requestingMember, message);
    }
}
