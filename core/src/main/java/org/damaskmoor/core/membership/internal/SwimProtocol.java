package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.core.membership.MemberListener;
import org.damaskmoor.core.membership.MembershipSettings;
import org.damaskmoor.schema.gossip.Acknowledgement;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.gossip.Ping;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.gossip.RegionOpinion;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Implements the membership protocol: combines its components and dispatches received messages to
 * them.
 *
 * <p>Invariant: a message from an earlier incarnation of a node changes nothing. Not thread-safe;
 * used on the protocol thread.
 */
public final class SwimProtocol {
    private static final long PAUSE_THRESHOLD_MILLISECONDS = 1_000;
    private static final long TOMBSTONE_CHECK_MILLISECONDS = 60_000;
    private static final int VERSIONS_PER_DATAGRAM = 12;

    private final MembershipView view;
    private final GossipExtension extension;
    private final Prober prober;
    private final IndirectProbes indirectProbes;
    private final RegionReachability regionReachability;
    private final AntiEntropy antiEntropy;
    private final Joiner joiner;
    private long lastTickMilliseconds;
    private long nextGossipMilliseconds;
    private long nextTombstoneCheckMilliseconds;

    public SwimProtocol(
            MemberRecord self,
            MembershipSettings settings,
            DatagramSender sender,
            MemberListener listener,
            GossipExtension extension,
            RandomGenerator random,
            long nowMilliseconds) {
        MemberRecord alive = self.toBuilder().setState(MemberState.ALIVE).build();
        this.view = new MembershipView(alive, settings, sender, listener, extension, random);
        this.extension = extension;
        this.prober = new Prober(view, nowMilliseconds);
        this.indirectProbes = new IndirectProbes(view);
        this.regionReachability = new RegionReachability(view);
        this.antiEntropy = new AntiEntropy(view, regionReachability);
        this.joiner = new Joiner(view, antiEntropy);
        this.lastTickMilliseconds = nowMilliseconds;
    }

    /** See {@code MembershipProtocol}. */
    public void join(List<InetSocketAddress> peers, long nowMilliseconds) {
        joiner.join(peers, nowMilliseconds);
    }

    /** See {@code MembershipProtocol}. */
    public boolean isJoined() {
        return joiner.isJoined();
    }

    /** See {@code MembershipProtocol}. */
    public void tick(long nowMilliseconds) {
        long sinceLastTick = nowMilliseconds - lastTickMilliseconds;
        lastTickMilliseconds = nowMilliseconds;
        if (sinceLastTick > PAUSE_THRESHOLD_MILLISECONDS) {
            onPause(sinceLastTick);
        }
        joiner.tick(nowMilliseconds);
        indirectProbes.tick(nowMilliseconds);
        prober.tick(nowMilliseconds);
        view.suspicionTimers.tick(nowMilliseconds);
        regionReachability.tick(nowMilliseconds);
        antiEntropy.tick(nowMilliseconds);
        gossip(nowMilliseconds);
        dropTombstones(nowMilliseconds);
    }

    /** Excludes the time in which this process was paused from all timeouts. */
    private void onPause(long milliseconds) {
        prober.cancelProbe();
        regionReachability.cancelProbes();
        view.suspicionTimers.extend(milliseconds);
        antiEntropy.scheduleExchange(view.region());
    }

    private void gossip(long nowMilliseconds) {
        if (nowMilliseconds < nextGossipMilliseconds) {
            return;
        }
        nextGossipMilliseconds = nowMilliseconds + view.settings.gossipIntervalMilliseconds();
        for (int i = 0; i < view.settings.gossipFanout(); i++) {
            gossipTo(view.region());
        }
        regionReachability.bridgedRegions().forEach(this::gossipTo);
    }

    private void gossipTo(String region) {
        if (!view.disseminator.hasUpdatesFor(region)) {
            return;
        }
        Member member = view.table.randomIn(region, view.self.getNodeId());
        if (member != null) {
            view.messageSender.send(member, GossipMessage.newBuilder());
        }
    }

    private void dropTombstones(long nowMilliseconds) {
        if (nowMilliseconds >= nextTombstoneCheckMilliseconds) {
            nextTombstoneCheckMilliseconds = nowMilliseconds + TOMBSTONE_CHECK_MILLISECONDS;
            long oldest = nowMilliseconds - view.settings.tombstoneMilliseconds();
            view.table.dropTombstones(oldest);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void receive(GossipMessage message, InetSocketAddress from, long nowMilliseconds) {
        if (message.getSender().isEmpty() || view.isSelf(message.getSender())) {
            return;
        }
        Member sender = view.table.find(message.getSender());
        if (sender != null && message.getSenderIncarnation() < sender.record.getIncarnation()) {
            view.messageSender.sendWithoutPiggyback(
                    from, GossipMessage.newBuilder().addNews(sender.record));
            return;
        }
        mergeUpdates(message, sender, nowMilliseconds);
        dispatchBody(message, from, sender, nowMilliseconds);
        if (sender == null && message.hasPing()) {
            joiner.joinThrough(from, nowMilliseconds);
        }
    }

    private void mergeUpdates(GossipMessage message, Member sender, long nowMilliseconds) {
        for (MemberRecord record : message.getNewsList()) {
            mergeIfComplete(record, true, nowMilliseconds);
        }
        for (RegionOpinion opinion : message.getRegionNewsList()) {
            boolean wasUnreachable = regionReachability.isUnreachable(opinion.getRegion());
            regionReachability.mergeOpinion(opinion);
            scheduleExchangeIfReachableAgain(opinion.getRegion(), wasUnreachable);
        }
        NodeId from = new NodeId(message.getSender());
        for (ConfigurationVersion version : message.getConfigurationNewsList()) {
            if (extension.onConfigurationVersion(from, version)) {
                view.disseminator.add(version);
            }
        }
        for (QuarantineRecord record : message.getQuarantineNewsList()) {
            if (extension.onQuarantine(record)) {
                view.disseminator.add(record);
            }
        }
        if (sender != null) {
            extension.onConfigurationDigest(
                    from, message.getConfigurationDigest(), nowMilliseconds);
        }
    }

    private void mergeIfComplete(MemberRecord record, boolean forward, long nowMilliseconds) {
        boolean suspectOrDead =
                record.getState() == MemberState.SUSPECT || record.getState() == MemberState.DEAD;
        boolean complete =
                !record.getNodeId().isEmpty()
                        && record.getIncarnation() > 0
                        && (suspectOrDead || !record.getRegion().isEmpty())
                        && record.getStateValue() >= MemberState.ALIVE_VALUE
                        && record.getStateValue() <= MemberState.LEFT_VALUE;
        if (complete) {
            view.mergeRecord(record, forward, nowMilliseconds);
        }
    }

    private void dispatchBody(
            GossipMessage message, InetSocketAddress from, Member sender, long nowMilliseconds) {
        switch (message.getBodyCase()) {
            case PING -> onPing(message.getPing(), message.getSequence(), from, sender);
            case PING_REQUEST ->
                    indirectProbes.onRequest(
                            message.getPingRequest(), from, sender, nowMilliseconds);
            case ACKNOWLEDGEMENT -> onAcknowledgement(message.getAcknowledgement());
            case NEGATIVE_ACKNOWLEDGEMENT ->
                    prober.onNegativeAcknowledgement(message.getNegativeAcknowledgement());
            case JOIN -> {
                if (!message.getJoin().getSelf().getNodeId().isEmpty()) {
                    joiner.onJoin(message.getJoin(), from, nowMilliseconds);
                }
            }
            case MEMBER_PAGE -> {
                boolean fromOtherRegion =
                        sender != null && !sender.record.getRegion().equals(view.region());
                boolean forward = fromOtherRegion && !message.getMemberPage().getJoining();
                for (MemberRecord record : message.getMemberPage().getMembersList()) {
                    mergeIfComplete(record, forward, nowMilliseconds);
                }
                joiner.onPage(message.getMemberPage(), nowMilliseconds);
            }
            case MEMBER_DIGESTS ->
                    antiEntropy.onDigests(
                            message.getMemberDigests(), from, sender, nowMilliseconds);
            default -> {
                // The message carries only updates, which have been merged already.
            }
        }
    }

    private void onPing(Ping ping, long sequence, InetSocketAddress from, Member sender) {
        if (!view.isSelf(ping.getTarget())) {
            return;
        }
        Acknowledgement.Builder answer =
                Acknowledgement.newBuilder().setTarget(ping.getTarget()).setOfSequence(sequence);
        view.messageSender.send(
                from, sender, GossipMessage.newBuilder().setAcknowledgement(answer));
    }

    private void onAcknowledgement(Acknowledgement acknowledgement) {
        prober.onAcknowledgement(acknowledgement);
        indirectProbes.onAcknowledgement(acknowledgement);
        for (String region : List.copyOf(regionReachability.bridgedRegions())) {
            boolean wasUnreachable = regionReachability.isUnreachable(region);
            regionReachability.onAcknowledgement(acknowledgement);
            scheduleExchangeIfReachableAgain(region, wasUnreachable);
        }
    }

    private void scheduleExchangeIfReachableAgain(String region, boolean wasUnreachable) {
        if (wasUnreachable && !regionReachability.isUnreachable(region)) {
            antiEntropy.scheduleExchange(region);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void announceUpstream(UpstreamState state, int capacity, long nowMilliseconds) {
        MemberRecord self = view.self;
        boolean same =
                self.getUpstreamState() == state.getNumber() && self.getCapacity() == capacity;
        if (!same && self.getState() == MemberState.ALIVE) {
            view.updateSelf(
                    self.toBuilder().setUpstreamState(state.getNumber()).setCapacity(capacity),
                    nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void announceService(String service, long nowMilliseconds) {
        MemberRecord self = view.self;
        boolean same = self.getService().equals(service);
        if (!same && self.getState() == MemberState.ALIVE) {
            view.updateSelf(self.toBuilder().setService(service), nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void leave(long nowMilliseconds) {
        if (view.self.getState() != MemberState.LEFT) {
            view.updateSelf(view.self.toBuilder().setState(MemberState.LEFT), nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void broadcast(ConfigurationVersion version) {
        view.disseminator.add(version);
    }

    /** See {@code MembershipProtocol}. */
    public void broadcast(QuarantineRecord record) {
        view.disseminator.add(record);
    }

    /** See {@code MembershipProtocol}. */
    public void sendVersions(String memberId, List<ConfigurationVersion> versions) {
        Member member = view.table.find(memberId);
        if (member == null) {
            return;
        }
        for (int start = 0; start < versions.size(); start += VERSIONS_PER_DATAGRAM) {
            int end = Math.min(versions.size(), start + VERSIONS_PER_DATAGRAM);
            GossipMessage.Builder message = GossipMessage.newBuilder();
            message.addAllConfigurationNews(versions.subList(start, end));
            view.messageSender.sendWithoutPiggyback(member.address(), message);
        }
    }

    /** See {@code MembershipProtocol}. */
    public MemberRecord self() {
        return view.self;
    }

    /** See {@code MembershipProtocol}. */
    public List<MemberRecord> members() {
        return view.table.records();
    }

    /** See {@code MembershipProtocol}. */
    public Optional<MemberRecord> member(String id) {
        return Optional.ofNullable(view.table.find(id)).map(member -> member.record);
    }

    /** See {@code MembershipProtocol}. */
    public boolean isUnreachable(String region) {
        return regionReachability.isUnreachable(region);
    }

    /** See {@code MembershipProtocol}. */
    public int localHealthScore() {
        return view.health.score();
    }
}
