package org.damaskmoor.core.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Simulates members in one process with virtual time, over a network that loses, duplicates and
 * reorders datagrams.
 */
final class FakeGroup {
    final Map<String, FakeMember> members = new LinkedHashMap<>();
    final Random random;
    double lossShare;
    double duplicateShare;
    long jitterMilliseconds;
    BiPredicate<FakeMember, FakeMember> partition = (from, to) -> false;
    long now = 1_000_000;
    int longestDatagram;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
    private long order;

    private record Delivery(
            long at, long order, FakeMember from, InetSocketAddress to, GossipMessage message) {}

    FakeGroup(long seed) {
        random = new Random(seed);
    }

    /** A node with its protocol and the events that it received. */
    final class FakeMember implements GossipExtension {
        final List<MemberEvent> events = new ArrayList<>();
        final Map<String, Long> versions = new LinkedHashMap<>();
        final MembershipProtocol protocol;
        final MemberRecord record;
        boolean frozen;

        FakeMember(MemberRecord record) {
            this.record = record;
            protocol =
                    new MembershipProtocol(
                            record,
                            MembershipSettings.defaults(),
                            (to, message) -> send(this, to, message),
                            events::add,
                            this,
                            random,
                            now);
        }

        long count(MemberEvent.Kind kind) {
            return events.stream().filter(event -> event.kind() == kind).count();
        }

        MemberState stateOf(String id) {
            return protocol.member(new NodeId(id))
                    .map(MemberRecord::getState)
                    .orElse(MemberState.MEMBER_STATE_UNSPECIFIED);
        }

        @Override
        public long configurationDigest() {
            return versions.hashCode();
        }

        @Override
        public boolean onConfigurationVersion(NodeId from, ConfigurationVersion version) {
            Long known = versions.get(version.getService());
            boolean isNew = known == null || known < version.getVersion();
            if (isNew) {
                versions.put(version.getService(), version.getVersion());
            }
            return isNew;
        }

        @Override
        public void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds) {
            // The tests check members only.
        }

        @Override
        public boolean onQuarantine(QuarantineRecord record) {
            return false;
        }
    }

    FakeMember add(String id, String region, long incarnation) {
        List<InetSocketAddress> peers =
                members.values().stream()
                        .filter(each -> !each.record.getNodeId().equals(id))
                        .limit(2)
                        .map(FakeGroup::addressOf)
                        .toList();
        FakeMember member = addWithoutJoinPoints(id, region, incarnation);
        member.protocol.join(peers, now);
        return member;
    }

    /** Adds a node that has no join point, because the table service is down. */
    FakeMember addWithoutJoinPoints(String id, String region, long incarnation) {
        int port = 10_000 + Math.abs(id.hashCode() % 50_000);
        MemberRecord record =
                MemberRecord.newBuilder()
                        .setNodeId(id)
                        .setIncarnation(incarnation)
                        .setRegion(region)
                        .setDataCentre(region + "-a")
                        .setAddress("127.0.0.1")
                        .setGossipPort(port)
                        .setMeshPort(port)
                        .setService("besuch")
                        .build();
        FakeMember member = new FakeMember(record);
        members.put(id, member);
        return member;
    }

    void addRegion(String region, int size) {
        for (int i = 0; i < size; i++) {
            add(region + "-" + i, region, 1);
            run(50);
        }
    }

    FakeMember get(String id) {
        return members.get(id);
    }

    private static InetSocketAddress addressOf(FakeMember member) {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), member.record.getGossipPort());
    }

    private void send(FakeMember from, InetSocketAddress to, GossipMessage message) {
        longestDatagram = Math.max(longestDatagram, message.getSerializedSize());
        int copies = random.nextDouble() < duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossShare) {
                long delay =
                        1 + (jitterMilliseconds == 0 ? 0 : random.nextLong(jitterMilliseconds));
                deliveries.add(new Delivery(now + delay, order++, from, to, message));
            }
        }
    }

    void run(long milliseconds) {
        long end = now + milliseconds;
        while (now < end) {
            now++;
            while (!deliveries.isEmpty() && deliveries.peek().at <= now) {
                deliver(deliveries.poll());
            }
            if (now % MembershipProtocol.TICK_MILLISECONDS == 0) {
                for (FakeMember member : List.copyOf(members.values())) {
                    if (!member.frozen) {
                        member.protocol.tick(now);
                    }
                }
            }
        }
    }

    private void deliver(Delivery delivery) {
        for (FakeMember member : List.copyOf(members.values())) {
            boolean addressed = member.record.getGossipPort() == delivery.to.getPort();
            if (addressed && !member.frozen && !partition.test(delivery.from, member)) {
                member.protocol.receive(delivery.message, addressOf(delivery.from), now);
            }
        }
    }
}
