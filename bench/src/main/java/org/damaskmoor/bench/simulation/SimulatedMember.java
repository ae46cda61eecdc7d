package org.damaskmoor.bench.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.core.membership.MembershipSettings;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.mesh.UpstreamState;

/** One node of the simulation: its membership protocol on the virtual network. Not thread-safe. */
final class SimulatedMember implements GossipExtension {
    private static final int FIRST_PORT = 10_000;
    private static final int SERVICES = 340;
    private static final int DATA_CENTRES = 15;
    private static final int REGIONS = 4;

    private final int number;
    private final MembershipProtocol protocol;
    private final Map<String, Long> versions = new HashMap<>();
    private boolean failed;

    SimulatedMember(
            int number, VirtualNetwork network, RandomGenerator random, long nowMilliseconds) {
        this.number = number;
        this.protocol =
                new MembershipProtocol(
                        recordOf(number),
                        MembershipSettings.defaults(),
                        (to, message) -> network.send(this, to, message),
                        event -> {},
                        this,
                        random,
                        nowMilliseconds);
    }

    static MemberRecord recordOf(int number) {
        return MemberRecord.newBuilder()
                .setNodeId("service-" + number % SERVICES + "-" + number)
                .setIncarnation(1_790_000_000_000L + number)
                .setRegion("region-" + number % DATA_CENTRES % REGIONS)
                .setDataCentre("data-centre-" + number % DATA_CENTRES)
                .setAddress("127.0.0.1")
                .setGossipPort(FIRST_PORT + number)
                .setMeshPort(FIRST_PORT + number)
                .setService("service-" + number % SERVICES)
                .setUpstreamState(UpstreamState.SERVING_VALUE)
                .setCapacity(10)
                .build();
    }

    NodeId id() {
        return new NodeId(protocol.self().getNodeId());
    }

    int port() {
        return FIRST_PORT + number;
    }

    String region() {
        return protocol.self().getRegion();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port());
    }

    void join(List<InetSocketAddress> peers, long nowMilliseconds) {
        protocol.join(peers, nowMilliseconds);
    }

    /** Adds members like a completed join, so that large groups need not join one by one. */
    void receivePage(GossipMessage page, InetSocketAddress from, long nowMilliseconds) {
        protocol.receive(page, from, nowMilliseconds);
    }

    void receive(GossipMessage message, InetSocketAddress from, long nowMilliseconds) {
        if (!failed) {
            protocol.receive(message, from, nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        if (!failed) {
            protocol.tick(nowMilliseconds);
        }
    }

    /** Fails without a leave message: the member no longer receives or sends. */
    void fail() {
        failed = true;
    }

    boolean hasFailed() {
        return failed;
    }

    String dataCentre() {
        return protocol.self().getDataCentre();
    }

    /** Returns how many members this node considers dead. */
    long deadMembers() {
        return protocol.members().stream()
                .filter(record -> record.getState() == MemberState.DEAD)
                .count();
    }

    void startLeaving(long nowMilliseconds) {
        protocol.announceUpstream(UpstreamState.LEAVING, 10, nowMilliseconds);
    }

    void broadcastConfiguration(ConfigurationVersion version) {
        versions.put(version.getService(), version.getVersion());
        protocol.broadcast(version);
    }

    boolean knowsLeaving(NodeId member) {
        return protocol.member(member)
                .map(record -> record.getUpstreamState() == UpstreamState.LEAVING_VALUE)
                .orElse(false);
    }

    boolean hasConfiguration(ConfigurationVersion version) {
        return versions.getOrDefault(version.getService(), 0L) >= version.getVersion();
    }

    /** Changes the record of this member, as a restart or a change of capacity does. */
    void announceCapacity(int capacity, long nowMilliseconds) {
        protocol.announceUpstream(UpstreamState.SERVING, capacity, nowMilliseconds);
    }

    @Override
    public long configurationDigest() {
        return versions.hashCode() + 1L;
    }

    @Override
    public boolean onConfigurationVersion(NodeId from, ConfigurationVersion version) {
        boolean newer = !hasConfiguration(version);
        if (newer) {
            versions.put(version.getService(), version.getVersion());
        }
        return newer;
    }

    @Override
    public void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds) {
        // The simulation propagates versions by broadcast only, without anti-entropy.
    }

    @Override
    public boolean onQuarantine(QuarantineRecord record) {
        return false;
    }
}
