package org.damaskmoor.node.internal.members;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.core.membership.MemberEvent;
import org.damaskmoor.core.membership.MemberEvent.Kind;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.core.membership.MembershipSettings;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * Runs the membership protocol on the control event loop and publishes the members.
 *
 * <p>Nodes that start at the same time may form several groups, each of which has found only a part
 * of the seed nodes. Groups join each other through the seed nodes that are no members of them.
 *
 * <p>Confined to the control event loop.
 */
public final class MembershipManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Least time between two joins; with other members it doubles up to that of seed checks. */
    private static final long JOIN_RETRY_MILLISECONDS = 1_000;

    private static final long SEED_CHECK_MILLISECONDS = 15_000;

    /**
     * Average time between two seed checks by any node of a large cluster, where each node checks
     * less often than every {@link #SEED_CHECK_MILLISECONDS}.
     */
    private static final long SEED_CHECK_MILLISECONDS_PER_MEMBER = 50;

    /** Minimum time between two publications, so that a burst of changes causes only one. */
    private static final long MINIMUM_PUBLISH_INTERVAL_MILLISECONDS = 50;

    private final MembershipProtocol protocol;
    private final SeedNodeRegistry seedNodes;
    private final MemberDirectory directory;
    private final MembershipListener listener;
    private final Executor control;
    private final LongSupplier milliseconds;
    private final RandomGenerator random;
    private List<MemberRecord> members = List.of();
    private List<NodeId> nearestPeers = List.of();
    private boolean changed = true;
    private MemberRecord publishedSelf = MemberRecord.getDefaultInstance();
    private long nextPublishMilliseconds;
    private long joinIntervalMilliseconds = JOIN_RETRY_MILLISECONDS;
    private long nextJoinMilliseconds;
    private long nextSeedCheckMilliseconds;

    /** Notified of membership changes. Called on the control event loop. */
    public interface MembershipListener {
        /** The directory was updated. */
        void onDirectoryPublished();

        /** A member is present: new, changed, back, or in a new incarnation. */
        void onMemberPresent(MemberRecord member);

        /** A member is dead or has left. */
        void onMemberRemoved(MemberRecord member);

        /** A later incarnation of this node exists: this process must stop. */
        void onSuperseded();
    }

    /**
     * Creates the manager.
     *
     * @param self this node's record
     * @param sender sends datagrams
     * @param extension piggybacks other data on the datagrams
     * @param seedNodes provides the first peers
     * @param directory receives the members
     * @param listener notified of changes
     * @param control runs tasks on the control event loop
     * @param milliseconds a monotonic clock
     * @param random chooses the members to probe
     */
    public MembershipManager(
            MemberRecord self,
            DatagramSender sender,
            GossipExtension extension,
            SeedNodeRegistry seedNodes,
            MemberDirectory directory,
            MembershipListener listener,
            Executor control,
            LongSupplier milliseconds,
            RandomGenerator random) {
        this.seedNodes = seedNodes;
        this.directory = directory;
        this.listener = listener;
        this.control = control;
        this.milliseconds = milliseconds;
        this.random = random;
        this.protocol =
                new MembershipProtocol(
                        self,
                        MembershipSettings.defaults(),
                        sender,
                        this::onEvent,
                        extension,
                        random,
                        milliseconds.getAsLong());
    }

    /** The protocol, for components that piggyback data on it. */
    public MembershipProtocol protocol() {
        return protocol;
    }

    /** Handles a datagram. */
    public void receive(GossipMessage message, InetSocketAddress from) {
        protocol.receive(message, from, milliseconds.getAsLong());
        publishIfDue();
    }

    /** Runs what is due; call it every {@link MembershipProtocol#TICK_MILLISECONDS}. */
    public void tick() {
        long now = milliseconds.getAsLong();
        protocol.tick(now);
        if (now >= nextJoinMilliseconds) {
            joinIntervalMilliseconds =
                    nearestPeers.isEmpty()
                            ? JOIN_RETRY_MILLISECONDS
                            : Math.min(2 * joinIntervalMilliseconds, seedCheckMilliseconds());
            nextJoinMilliseconds = now + joinIntervalMilliseconds;
            joinThroughSeedNodes();
        }
        if (now >= nextSeedCheckMilliseconds) {
            nextSeedCheckMilliseconds = now + random.nextLong(1, 2 * seedCheckMilliseconds());
            registerAsSeedNode();
        }
        publishIfDue();
    }

    private long seedCheckMilliseconds() {
        return Math.max(
                SEED_CHECK_MILLISECONDS, members.size() * SEED_CHECK_MILLISECONDS_PER_MEMBER);
    }

    /**
     * Other live members: those of the own data centre first, then those of the own region, then
     * all others.
     */
    public List<NodeId> nearestPeers() {
        return nearestPeers;
    }

    private List<NodeId> sortByDistance(List<MemberRecord> present) {
        MemberRecord self = protocol.self();
        List<MemberRecord> others = new ArrayList<>();
        for (MemberRecord member : present) {
            boolean other = !member.getNodeId().equals(self.getNodeId());
            if (other && member.getState() == MemberState.ALIVE) {
                others.add(member);
            }
        }
        others.sort(Comparator.comparingInt(member -> distance(member, self)));
        return others.stream().map(member -> new NodeId(member.getNodeId())).toList();
    }

    private static int distance(MemberRecord member, MemberRecord self) {
        if (member.getDataCentre().equals(self.getDataCentre())) {
            return 0;
        }
        return member.getRegion().equals(self.getRegion()) ? 1 : 2;
    }

    private void registerAsSeedNode() {
        seedNodes
                .registerIfNeeded(protocol.self(), directory::isCurrent)
                .exceptionally(MembershipManager::logTableFailure);
    }

    private void joinThroughSeedNodes() {
        seedNodes
                .readAddresses(protocol.self(), directory::isCurrent)
                .thenAcceptAsync(this::join, control)
                .exceptionally(MembershipManager::logTableFailure);
    }

    private void join(List<InetSocketAddress> addresses) {
        if (!addresses.isEmpty() || !protocol.isJoined()) {
            protocol.join(addresses, milliseconds.getAsLong());
        }
    }

    private static Void logTableFailure(Throwable failure) {
        logger.atInfo().log(
                "event=join-points-unavailable step=join-points peer=table-service detail=%s",
                failure.getMessage());
        return null;
    }

    private void onEvent(MemberEvent event) {
        changed = true;
        logger.atInfo().log(
                "event=member-%s node=%s incarnation=%d region=%s",
                event.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                event.member().getNodeId(),
                event.member().getIncarnation(),
                event.region());
        if (event.kind() == Kind.DEAD || event.kind() == Kind.LEFT) {
            listener.onMemberRemoved(event.member());
        } else if (event.kind() == Kind.JOINED || event.kind() == Kind.CHANGED) {
            listener.onMemberPresent(event.member());
        } else if (event.kind() == Kind.SUPERSEDED) {
            listener.onSuperseded();
        }
    }

    /** Compares the own record too, because the protocol raises no event for its changes. */
    private boolean isChanged() {
        return changed || !protocol.self().equals(publishedSelf);
    }

    private void publishIfDue() {
        long now = milliseconds.getAsLong();
        if (isChanged() && now >= nextPublishMilliseconds) {
            changed = false;
            publishedSelf = protocol.self();
            nextPublishMilliseconds = now + MINIMUM_PUBLISH_INTERVAL_MILLISECONDS;
            members = protocol.members();
            nearestPeers = sortByDistance(members);
            directory.publish(members);
            listener.onDirectoryPublished();
        }
    }
}
