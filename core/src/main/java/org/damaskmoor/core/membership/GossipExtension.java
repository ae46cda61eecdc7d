package org.damaskmoor.core.membership;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * What rides on the membership protocol's datagrams besides members. Called on the thread that
 * drives the protocol.
 */
public interface GossipExtension {
    /** An extension that adds nothing and hears nothing. */
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
                    // Nothing to compare with.
                }

                @Override
                public boolean onQuarantine(QuarantineRecord record) {
                    return false;
                }
            };

    /** Digest over all configuration versions that this node holds. */
    long configurationDigest();

    /**
     * Hears that a node knows of a version.
     *
     * @return whether this was news, so that it is told onwards
     */
    boolean onConfigurationVersion(NodeId from, ConfigurationVersion version);

    /** Hears a peer's digest. */
    void onConfigurationDigest(NodeId from, long digest, long nowMilliseconds);

    /**
     * Hears of a request fingerprint that crashes upstreams.
     *
     * @return whether this was news, so that it is told onwards
     */
    boolean onQuarantine(QuarantineRecord record);
}
