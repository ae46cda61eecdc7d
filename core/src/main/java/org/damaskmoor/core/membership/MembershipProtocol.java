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
 * Maintains the list of all nodes by gossip (SWIM with Lifeguard), without a leader and without a
 * store.
 *
 * <pre>{@code
 * MembershipProtocol protocol = new MembershipProtocol(
 *         self, MembershipSettings.defaults(), transport::send, events::add, extension,
 *         random, now);
 * protocol.join(joinPoints, now);
 * // for each received datagram:
 * protocol.receive(message, from, now);
 * // every 100 milliseconds:
 * protocol.tick(now);
 * }</pre>
 *
 * <p>Invariants: for each node id, a lower incarnation never replaces a greater one; a member is
 * declared dead only by its own region, so that a partition between regions does not cause deaths;
 * no datagram exceeds the configured size. Not thread-safe: use it from a single thread, the
 * protocol thread. Times are in milliseconds of one monotonic clock.
 */
public final class MembershipProtocol {
    /** Interval at which {@link #tick} must be called, in milliseconds. */
    public static final long TICK_MILLISECONDS = 100;

    private final SwimProtocol protocol;

    /**
     * Creates a group with this node as its only member; call {@link #join} next.
     *
     * @param self this node's record: id, new incarnation, region, data centre, address, ports and
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
     * Fetches the member list from one of the given peers. May be called again at any time, for
     * example with join points that are not members yet.
     *
     * @param peers gossip addresses of the peers; empty for the first node
     */
    public void join(List<InetSocketAddress> peers, long nowMilliseconds) {
        protocol.join(peers, nowMilliseconds);
    }

    /** Whether the complete member list has been fetched. */
    public boolean isJoined() {
        return protocol.isJoined();
    }

    /** Processes a received datagram. */
    public void receive(GossipMessage message, InetSocketAddress from, long nowMilliseconds) {
        protocol.receive(message, from, nowMilliseconds);
    }

    /** Performs all actions that are due. */
    public void tick(long nowMilliseconds) {
        protocol.tick(nowMilliseconds);
    }

    /**
     * Announces the state and capacity of this node's upstream to all members; does nothing when
     * neither has changed.
     */
    public void announceUpstream(UpstreamState state, int capacity, long nowMilliseconds) {
        protocol.announceUpstream(state, capacity, nowMilliseconds);
    }

    /**
     * Announces the service that this node's upstream runs to all members; does nothing when it has
     * not changed.
     */
    public void announceService(ServiceName service, long nowMilliseconds) {
        protocol.announceService(service.value(), nowMilliseconds);
    }

    /**
     * Announces that this node leaves. Keep calling {@link #tick} for two seconds, so that the
     * announcement spreads.
     */
    public void leave(long nowMilliseconds) {
        protocol.leave(nowMilliseconds);
    }

    /** Announces to all nodes that a version of a service's configuration exists. */
    public void broadcast(ConfigurationVersion version) {
        protocol.broadcast(version);
    }

    /** Announces to all nodes a request that crashes upstreams. */
    public void broadcast(QuarantineRecord record) {
        protocol.broadcast(record);
    }

    /** Sends the given configuration versions to one member, in as many datagrams as needed. */
    public void sendVersions(NodeId member, List<ConfigurationVersion> versions) {
        protocol.sendVersions(member.value(), versions);
    }

    /** Returns this node's current record. */
    public MemberRecord self() {
        return protocol.self();
    }

    /**
     * Returns all records, including those of suspect, dead and departed members, in order of node
     * id.
     */
    public List<MemberRecord> members() {
        return protocol.members();
    }

    /** Returns the record of one member. */
    public Optional<MemberRecord> member(NodeId id) {
        return protocol.member(id.value());
    }

    /** Whether most members of a region stopped answering at once. */
    public boolean isUnreachable(RegionName region) {
        return protocol.isUnreachable(region.value());
    }

    /** Local health score: 0 (healthy) to 8 (this node itself is probably slow). */
    public int localHealthScore() {
        return protocol.localHealthScore();
    }
}
