package org.damaskmoor.core.configuration;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Lets configuration versions ride on the membership protocol, and repairs what gossip missed: when
 * a peer's digest differs although nothing is under way, it is told all versions held here, and
 * asks for those that it lacks.
 *
 * <p>Invariant: versions are told to a peer at most once per interval, which doubles while that
 * brings no change. Not thread-safe: one thread drives it.
 */
public final class ConfigurationGossip implements GossipExtension {
    private static final long QUIET_MILLISECONDS = 2_000;
    private static final long SHORTEST_REPAIR_MILLISECONDS = 5_000;
    private static final long LONGEST_REPAIR_MILLISECONDS = 60_000;

    private final ConfigurationStore store;
    private final ConfigurationPuller puller;
    private final PeerConfigurationTracker peers;
    private final BiConsumer<NodeId, List<ConfigurationVersion>> teller;
    private final Predicate<QuarantineRecord> quarantine;
    private long lastDigest;
    private long digestSinceMilliseconds;
    private long nextRepairMilliseconds;
    private long repairIntervalMilliseconds = SHORTEST_REPAIR_MILLISECONDS;

    /**
     * The extension to hand to the membership protocol.
     *
     * @param teller tells a peer versions: {@code MembershipProtocol::tell}
     * @param quarantine hears of requests that crash upstreams; returns whether it was news
     */
    public ConfigurationGossip(
            ConfigurationStore store,
            ConfigurationPuller puller,
            PeerConfigurationTracker peers,
            BiConsumer<NodeId, List<ConfigurationVersion>> teller,
            Predicate<QuarantineRecord> quarantine) {
        this.store = store;
        this.puller = puller;
        this.peers = peers;
        this.teller = teller;
        this.quarantine = quarantine;
    }

    @Override
    public long configurationDigest() {
        return store.digest();
    }

    @Override
    public boolean onConfigurationVersion(NodeId from, ConfigurationVersion version) {
        if (version.getService().isEmpty()) {
            return false;
        }
        puller.onVersionAnnounced(from, version);
        return store.recordAnnounced(version);
    }

    @Override
    public void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds) {
        noteOwnDigest(nowMilliseconds);
        peers.onPeerDigest(from, digest);
        boolean quiet = nowMilliseconds - digestSinceMilliseconds >= QUIET_MILLISECONDS;
        boolean due = nowMilliseconds >= nextRepairMilliseconds;
        if (digest != store.digest() && quiet && due) {
            nextRepairMilliseconds = nowMilliseconds + repairIntervalMilliseconds;
            repairIntervalMilliseconds =
                    Math.min(2 * repairIntervalMilliseconds, LONGEST_REPAIR_MILLISECONDS);
            teller.accept(from, store.versions());
        }
    }

    private void noteOwnDigest(long nowMilliseconds) {
        peers.onOwnDigest(store.digest());
        if (store.digest() != lastDigest) {
            lastDigest = store.digest();
            digestSinceMilliseconds = nowMilliseconds;
            repairIntervalMilliseconds = SHORTEST_REPAIR_MILLISECONDS;
        }
    }

    @Override
    public boolean onQuarantine(QuarantineRecord record) {
        return quarantine.test(record);
    }
}
