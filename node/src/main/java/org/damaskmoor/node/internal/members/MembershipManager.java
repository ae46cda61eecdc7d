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
 * <p>Confined to the control event loop.
 */
public final class MembershipManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long JOIN_RETRY_MILLISECONDS = 1_000;
    private static final long JOIN_POINT_CHECK_MILLISECONDS = 15_000;

    /** Time between two looks at the join points by all nodes together, when they are many. */
    private static final long GROUP_CHECK_MILLISECONDS = 50;

    /** Shortest time between two publications, so that a burst of news costs one. */
    private static final long PUBLISH_MILLISECONDS = 50;

    private final MembershipProtocol protocol;
    private final SeedNodeRegistry joinPoints;
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
    private long nextJoinMilliseconds;
    private long nextCheckMilliseconds;

    /** Told of what other duties need to know. Called on the control event loop. */
    public interface MembershipListener {
        /** The directory was published anew. */
        void onPublished();

        /** A member is present: new, changed, back, or in a new incarnation. */
        void onPresent(MemberRecord member);

        /** A member is dead or left. */
        void onGone(MemberRecord member);

        /** A later start of this node is known: this process must stop. */
        void onSuperseded();
    }

    /**
     * Creates the duty.
     *
     * @param self this node's record
     * @param sender sends datagrams
     * @param extension what rides on them
     * @param joinPoints where first peers are found
     * @param directory where members are published
     * @param listener told of changes
     * @param control runs tasks on the control event loop
     * @param milliseconds a monotonic clock
     * @param random chooses whom to probe
     */
    public MembershipManager(
            MemberRecord self,
            DatagramSender sender,
            GossipExtension extension,
            SeedNodeRegistry joinPoints,
            MemberDirectory directory,
            MembershipListener listener,
            Executor control,
            LongSupplier milliseconds,
            RandomGenerator random) {
        this.joinPoints = joinPoints;
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

    /** The protocol, for what rides on it. */
    public MembershipProtocol protocol() {
        return protocol;
    }

    /** Takes in a datagram. */
    public void receive(GossipMessage message, InetSocketAddress from) {
        protocol.receive(message, from, milliseconds.getAsLong());
        publishIfDue();
    }

    /** Does what is due; call it every {@link MembershipProtocol#TICK_MILLISECONDS}. */
    public void tick() {
        long now = milliseconds.getAsLong();
        protocol.tick(now);
        if (nearestPeers.isEmpty() && now >= nextJoinMilliseconds) {
            nextJoinMilliseconds = now + JOIN_RETRY_MILLISECONDS;
            joinThroughTable();
        }
        if (now >= nextCheckMilliseconds) {
            nextCheckMilliseconds = now + random.nextLong(1, 2 * joinPointCheckMilliseconds());
            keepJoinPoint();
        }
        publishIfDue();
    }

    private long joinPointCheckMilliseconds() {
        return Math.max(JOIN_POINT_CHECK_MILLISECONDS, members.size() * GROUP_CHECK_MILLISECONDS);
    }

    /** Other members, those of the own data centre first, then those of the own region. */
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

    private void keepJoinPoint() {
        joinPoints
                .registerIfNeeded(protocol.self(), directory::isCurrent)
                .exceptionally(MembershipManager::logTableFailure);
    }

    private void joinThroughTable() {
        joinPoints
                .readAddresses(protocol.self())
                .thenAcceptAsync(
                        addresses -> protocol.join(addresses, milliseconds.getAsLong()), control)
                .exceptionally(MembershipManager::logTableFailure);
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
            listener.onGone(event.member());
        } else if (event.kind() == Kind.JOINED || event.kind() == Kind.CHANGED) {
            listener.onPresent(event.member());
        } else if (event.kind() == Kind.SUPERSEDED) {
            listener.onSuperseded();
        }
    }

    /** Changes of the own record raise no event. */
    private boolean isChanged() {
        return changed || !protocol.self().equals(publishedSelf);
    }

    private void publishIfDue() {
        long now = milliseconds.getAsLong();
        if (isChanged() && now >= nextPublishMilliseconds) {
            changed = false;
            publishedSelf = protocol.self();
            nextPublishMilliseconds = now + PUBLISH_MILLISECONDS;
            members = protocol.members();
            nearestPeers = sortByDistance(members);
            directory.publish(members);
            listener.onPublished();
        }
    }
}
