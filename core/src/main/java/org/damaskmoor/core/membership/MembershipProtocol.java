package org.damaskmoor.core.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.membership.internal.SwimProtocol;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Keeps the list of all nodes current by gossip (SWIM with Lifeguard), without a leader and without
 * a store.
 *
 * <pre>{@code
 * MembershipProtocol protocol = new MembershipProtocol(
 *         self, MembershipSettings.defaults(), transport::send, events::add, extension,
 *         random, now);
 * protocol.join(joinPoints, now);
 * // whenever a datagram comes:
 * protocol.receive(message, from, now);
 * // every 100 milliseconds:
 * protocol.tick(now);
 * }</pre>
 *
 * <p>Invariants: of a node id the greatest incarnation wins for good; a member of another region is
 * declared dead only by its own region, so that a cut between regions kills nobody; no datagram is
 * longer than the settings say. Not thread-safe: one thread drives it. Times are milliseconds of
 * one monotonic clock.
 */
public final class MembershipProtocol {
    /** How often {@link #tick} is to be called, in milliseconds. */
    public static final long TICK_MILLISECONDS = 100;

    private final SwimProtocol protocol;

    /**
     * Starts alone; call {@link #join} next.
     *
     * @param self this node's record: id, fresh incarnation, region, data centre, address, ports,
     *     service; its state is set to alive
     */
    public MembershipProtocol(
            MemberRecord self,
            MembershipSettings settings,
            DatagramSender sender,
            MemberListener listener,
            GossipExtension extension,
            RandomGenerator random,
            long nowMilliseconds) {
        protocol =
                new SwimProtocol(
                        self, settings, sender, listener, extension, random, nowMilliseconds);
    }

    /**
     * Fetches the members from one of these peers. May be called again at any time, for example
     * with join points that are not members yet.
     *
     * @param peers gossip addresses; empty: this node is the first
     */
    public void join(List<InetSocketAddress> peers, long nowMilliseconds) {
        protocol.join(peers, nowMilliseconds);
    }

    /** Whether the list of members was fetched whole. */
    public boolean isJoined() {
        return protocol.isJoined();
    }

    /** Takes in a datagram. */
    public void receive(GossipMessage message, InetSocketAddress from, long nowMilliseconds) {
        protocol.receive(message, from, nowMilliseconds);
    }

    /** Does what is due. */
    public void tick(long nowMilliseconds) {
        protocol.tick(nowMilliseconds);
    }

    /** Tells all members a change of the own upstream; without a change nothing is sent. */
    public void announceUpstream(UpstreamState state, int capacity, long nowMilliseconds) {
        protocol.announceUpstream(state, capacity, nowMilliseconds);
    }

    /** Tells all members which service the own upstream runs; without a change nothing is sent. */
    public void announceService(ServiceName service, long nowMilliseconds) {
        protocol.announceService(service.value(), nowMilliseconds);
    }

    /** Tells that this node leaves. Keep ticking for two seconds, so that the news gets out. */
    public void leave(long nowMilliseconds) {
        protocol.leave(nowMilliseconds);
    }

    /** Tells all nodes that a version of a service's configuration exists. */
    public void broadcast(ConfigurationVersion version) {
        protocol.broadcast(version);
    }

    /** Tells all nodes of a request that crashes upstreams. */
    public void broadcast(QuarantineRecord record) {
        protocol.broadcast(record);
    }

    /** Tells one member which versions this node holds, in as many datagrams as needed. */
    public void sendVersions(NodeId member, List<ConfigurationVersion> versions) {
        protocol.sendVersions(member.value(), versions);
    }

    /** This node's record as it stands. */
    public MemberRecord self() {
        return protocol.self();
    }

    /** All records, also of those suspect, dead and left, in order of node id. */
    public List<MemberRecord> members() {
        return protocol.members();
    }

    /** One record. */
    public Optional<MemberRecord> member(NodeId id) {
        return protocol.member(id.value());
    }

    /** Whether most members of a region stopped answering at once. */
    public boolean isUnreachable(RegionName region) {
        return protocol.isUnreachable(region.value());
    }

    /** How much this node doubts itself: 0 (not at all) to 8. */
    public int localHealthScore() {
        return protocol.localHealthScore();
    }
}
