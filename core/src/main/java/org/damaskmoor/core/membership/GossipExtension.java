package org.damaskmoor.core.membership;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Supplies and receives the data that is piggybacked on the membership protocol's datagrams in
 * addition to members. Called on the protocol thread.
 */
public interface GossipExtension {
    /** An extension that sends nothing and ignores everything. */
    GossipExtension NONE =
            new GossipExtension() {
                @Override
                public long configurationDigest() {
                    return 0;
                }

                @Override
                public boolean onConfigurationVersion(NodeId from, ConfigurationVersion version) {
                    return false;
                }

                @Override
                public void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds) {
                    // There is no digest to compare with.
                }

                @Override
                public boolean onQuarantine(QuarantineRecord record) {
                    return false;
                }
            };

    /** Returns a digest over all configuration versions that this node has. */
    long configurationDigest();

    /**
     * Called when a peer announced that a configuration version exists.
     *
     * @return whether this was new, so that it is forwarded
     */
    boolean onConfigurationVersion(NodeId from, ConfigurationVersion version);

    /** Called with the digest of a peer. */
    void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds);

    /**
     * Called when a peer reported the fingerprint of a request that crashes upstreams.
     *
     * @return whether this was new, so that it is forwarded
     */
    boolean onQuarantine(QuarantineRecord record);
}
