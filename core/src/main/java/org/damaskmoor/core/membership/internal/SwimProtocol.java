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
 * Joins the parts of the membership protocol and hands each message to the part it is for.
 *
 * <p>Invariant: a message of a process that is not the newest start of its node changes nothing.
 * Confined to the thread that drives the protocol.
 */
public final class SwimProtocol {
    private static final long STANDSTILL_MILLISECONDS = 1_000;
    private static final long TOMBSTONE_CHECK_MILLISECONDS = 60_000;
    private static final int VERSIONS_PER_DATAGRAM = 12;

    private final MembershipView group;
    private final GossipExtension extension;
    private final Prober prober;
    private final IndirectProbes relays;
    private final RegionReachability regions;
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
        this.group = new MembershipView(alive, settings, sender, listener, extension, random);
        this.extension = extension;
        this.prober = new Prober(group, nowMilliseconds);
        this.relays = new IndirectProbes(group);
        this.regions = new RegionReachability(group);
        this.antiEntropy = new AntiEntropy(group, regions);
        this.joiner = new Joiner(group, antiEntropy);
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
        long stoodStill = nowMilliseconds - lastTickMilliseconds;
        lastTickMilliseconds = nowMilliseconds;
        if (stoodStill > STANDSTILL_MILLISECONDS) {
            onStandstill(stoodStill);
        }
        joiner.tick(nowMilliseconds);
        relays.tick(nowMilliseconds);
        prober.tick(nowMilliseconds);
        group.suspicions.tick(nowMilliseconds);
        regions.tick(nowMilliseconds);
        antiEntropy.tick(nowMilliseconds);
        gossip(nowMilliseconds);
        dropTombstones(nowMilliseconds);
    }

    /** Nobody is blamed for a time in which this process did not run. */
    private void onStandstill(long milliseconds) {
        prober.cancelProbe();
        regions.cancelProbes();
        group.suspicions.extend(milliseconds);
        antiEntropy.scheduleExchange(group.region());
    }

    private void gossip(long nowMilliseconds) {
        if (nowMilliseconds < nextGossipMilliseconds) {
            return;
        }
        nextGossipMilliseconds = nowMilliseconds + group.settings.gossipIntervalMilliseconds();
        for (int i = 0; i < group.settings.gossipFanout(); i++) {
            gossipTo(group.region());
        }
        regions.bridgedRegions().forEach(this::gossipTo);
    }

    private void gossipTo(String region) {
        if (!group.spread.hasUpdatesFor(region)) {
            return;
        }
        Member member = group.table.randomIn(region, group.self.getNodeId());
        if (member != null) {
            group.outbox.send(member, GossipMessage.newBuilder());
        }
    }

    private void dropTombstones(long nowMilliseconds) {
        if (nowMilliseconds >= nextTombstoneCheckMilliseconds) {
            nextTombstoneCheckMilliseconds = nowMilliseconds + TOMBSTONE_CHECK_MILLISECONDS;
            long oldest = nowMilliseconds - group.settings.tombstoneMilliseconds();
            group.table.dropTombstones(oldest);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void receive(GossipMessage message, InetSocketAddress from, long nowMilliseconds) {
        if (message.getSender().isEmpty() || group.isSelf(message.getSender())) {
            return;
        }
        Member sender = group.table.find(message.getSender());
        if (sender != null && message.getSenderIncarnation() < sender.record.getIncarnation()) {
            group.outbox.sendWithoutPiggyback(
                    from, GossipMessage.newBuilder().addNews(sender.record));
            return;
        }
        takeNews(message, sender, nowMilliseconds);
        takeBody(message, from, sender, nowMilliseconds);
        if (sender == null && message.hasPing()) {
            joiner.joinThrough(from, nowMilliseconds);
        }
    }

    private void takeNews(GossipMessage message, Member sender, long nowMilliseconds) {
        for (MemberRecord record : message.getNewsList()) {
            learn(record, true, nowMilliseconds);
        }
        for (RegionOpinion opinion : message.getRegionNewsList()) {
            boolean wasUnreachable = regions.isUnreachable(opinion.getRegion());
            regions.mergeOpinion(opinion);
            exchangeAfterReturn(opinion.getRegion(), wasUnreachable);
        }
        NodeId from = new NodeId(message.getSender());
        for (ConfigurationVersion version : message.getConfigurationNewsList()) {
            if (extension.onConfigurationVersion(from, version)) {
                group.spread.add(version);
            }
        }
        for (QuarantineRecord record : message.getQuarantineNewsList()) {
            if (extension.onQuarantine(record)) {
                group.spread.add(record);
            }
        }
        if (sender != null) {
            extension.onConfigurationDigest(
                    from, message.getConfigurationDigest(), nowMilliseconds);
        }
    }

    private void learn(MemberRecord record, boolean tellOnwards, long nowMilliseconds) {
        boolean judged =
                record.getState() == MemberState.SUSPECT || record.getState() == MemberState.DEAD;
        boolean complete =
                !record.getNodeId().isEmpty()
                        && record.getIncarnation() > 0
                        && (judged || !record.getRegion().isEmpty())
                        && record.getStateValue() >= MemberState.ALIVE_VALUE
                        && record.getStateValue() <= MemberState.LEFT_VALUE;
        if (complete) {
            group.mergeRecord(record, tellOnwards, nowMilliseconds);
        }
    }

    private void takeBody(
            GossipMessage message, InetSocketAddress from, Member sender, long nowMilliseconds) {
        switch (message.getBodyCase()) {
            case PING -> onPing(message.getPing(), message.getSequence(), from, sender);
            case PING_REQUEST ->
                    relays.onRequest(message.getPingRequest(), from, sender, nowMilliseconds);
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
                        sender != null && !sender.record.getRegion().equals(group.region());
                boolean tell = fromOtherRegion && !message.getMemberPage().getJoining();
                for (MemberRecord record : message.getMemberPage().getMembersList()) {
                    learn(record, tell, nowMilliseconds);
                }
                joiner.onPage(message.getMemberPage(), nowMilliseconds);
            }
            case MEMBER_DIGESTS ->
                    antiEntropy.onDigests(
                            message.getMemberDigests(), from, sender, nowMilliseconds);
            default -> {
                // Only news, which is taken in by now.
            }
        }
    }

    private void onPing(Ping ping, long sequence, InetSocketAddress from, Member sender) {
        if (!group.isSelf(ping.getTarget())) {
            return;
        }
        Acknowledgement.Builder answer =
                Acknowledgement.newBuilder().setTarget(ping.getTarget()).setOfSequence(sequence);
        group.outbox.send(from, sender, GossipMessage.newBuilder().setAcknowledgement(answer));
    }

    private void onAcknowledgement(Acknowledgement acknowledgement) {
        prober.onAcknowledgement(acknowledgement);
        relays.onAcknowledgement(acknowledgement);
        for (String region : List.copyOf(regions.bridgedRegions())) {
            boolean wasUnreachable = regions.isUnreachable(region);
            regions.onAcknowledgement(acknowledgement);
            exchangeAfterReturn(region, wasUnreachable);
        }
    }

    private void exchangeAfterReturn(String region, boolean wasUnreachable) {
        if (wasUnreachable && !regions.isUnreachable(region)) {
            antiEntropy.scheduleExchange(region);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void announceUpstream(UpstreamState state, int capacity, long nowMilliseconds) {
        MemberRecord self = group.self;
        boolean same =
                self.getUpstreamState() == state.getNumber() && self.getCapacity() == capacity;
        if (!same && self.getState() == MemberState.ALIVE) {
            group.updateSelf(
                    self.toBuilder().setUpstreamState(state.getNumber()).setCapacity(capacity),
                    nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void announceService(String service, long nowMilliseconds) {
        MemberRecord self = group.self;
        boolean same = self.getService().equals(service);
        if (!same && self.getState() == MemberState.ALIVE) {
            group.updateSelf(self.toBuilder().setService(service), nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void leave(long nowMilliseconds) {
        if (group.self.getState() != MemberState.LEFT) {
            group.updateSelf(group.self.toBuilder().setState(MemberState.LEFT), nowMilliseconds);
        }
    }

    /** See {@code MembershipProtocol}. */
    public void broadcast(ConfigurationVersion version) {
        group.spread.add(version);
    }

    /** See {@code MembershipProtocol}. */
    public void broadcast(QuarantineRecord record) {
        group.spread.add(record);
    }

    /** See {@code MembershipProtocol}. */
    public void sendVersions(String memberId, List<ConfigurationVersion> versions) {
        Member member = group.table.find(memberId);
        if (member == null) {
            return;
        }
        for (int start = 0; start < versions.size(); start += VERSIONS_PER_DATAGRAM) {
            int end = Math.min(versions.size(), start + VERSIONS_PER_DATAGRAM);
            GossipMessage.Builder message = GossipMessage.newBuilder();
            message.addAllConfigurationNews(versions.subList(start, end));
            group.outbox.sendWithoutPiggyback(member.address(), message);
        }
    }

    /** See {@code MembershipProtocol}. */
    public MemberRecord self() {
        return group.self;
    }

    /** See {@code MembershipProtocol}. */
    public List<MemberRecord> members() {
        return group.table.records();
    }

    /** See {@code MembershipProtocol}. */
    public Optional<MemberRecord> member(String id) {
        return Optional.ofNullable(group.table.find(id)).map(member -> member.record);
    }

    /** See {@code MembershipProtocol}. */
    public boolean isUnreachable(String region) {
        return regions.isUnreachable(region);
    }

    /** See {@code MembershipProtocol}. */
    public int localHealthScore() {
        return group.health.score();
    }
}
