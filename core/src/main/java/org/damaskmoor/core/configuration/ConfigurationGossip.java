package org.damaskmoor.core.configuration;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Spreads configuration versions over the membership protocol and repairs what gossip missed: when
 * a peer's digest still differs after this node's has been stable for two seconds, it is sent all
 * versions of this node, and requests those that it lacks.
 *
 * <p>Invariant: all versions are sent to at most one peer per interval, which doubles while the
 * digest of this node does not change. Not thread-safe: one thread drives it.
 */
public final class ConfigurationGossip implements GossipExtension {
    private static final long STABLE_MILLISECONDS = 2_000;
    private static final long MINIMUM_REPAIR_INTERVAL_MILLISECONDS = 5_000;
    private static final long MAXIMUM_REPAIR_INTERVAL_MILLISECONDS = 60_000;

    private final ConfigurationStore store;
    private final ConfigurationPuller puller;
    private final PeerConfigurationTracker peers;
    private final BiConsumer<NodeId, List<ConfigurationVersion>> versionSender;
    private final Predicate<QuarantineRecord> quarantine;
    private long lastDigest;
    private long digestSinceMilliseconds;
    private long nextRepairMilliseconds;
    private long repairIntervalMilliseconds = MINIMUM_REPAIR_INTERVAL_MILLISECONDS;

    /**
     * Creates the extension of the membership protocol.
     *
     * @param versionSender sends versions to a peer: {@code MembershipProtocol::sendVersions}
     * @param quarantine receives records of requests that crash upstreams; returns whether the
     *     record was new
     */
    public ConfigurationGossip(
            ConfigurationStore store,
            ConfigurationPuller puller,
            PeerConfigurationTracker peers,
            BiConsumer<NodeId, List<ConfigurationVersion>> versionSender,
            Predicate<QuarantineRecord> quarantine) {
        this.store = store;
        this.puller = puller;
        this.peers = peers;
        this.versionSender = versionSender;
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
        updateOwnDigest(nowMilliseconds);
        peers.onPeerDigest(from, digest);
        boolean stable = nowMilliseconds - digestSinceMilliseconds >= STABLE_MILLISECONDS;
        boolean due = nowMilliseconds >= nextRepairMilliseconds;
        if (digest != store.digest() && stable && due) {
            nextRepairMilliseconds = nowMilliseconds + repairIntervalMilliseconds;
            repairIntervalMilliseconds =
                    Math.min(2 * repairIntervalMilliseconds, MAXIMUM_REPAIR_INTERVAL_MILLISECONDS);
            versionSender.accept(from, store.versions());
        }
    }

    private void updateOwnDigest(long nowMilliseconds) {
        peers.onOwnDigest(store.digest());
        if (store.digest() != lastDigest) {
            lastDigest = store.digest();
            digestSinceMilliseconds = nowMilliseconds;
            repairIntervalMilliseconds = MINIMUM_REPAIR_INTERVAL_MILLISECONDS;
        }
    }

    @Override
    public boolean onQuarantine(QuarantineRecord record) {
        return quarantine.test(record);
    }
}
