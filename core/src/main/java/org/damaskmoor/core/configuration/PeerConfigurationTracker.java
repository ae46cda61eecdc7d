package org.damaskmoor.core.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.NodeId;

/**
 * Tracks which peers have outdated configurations, by the digests that they last sent.
 *
 * <p>Invariant: a peer counts as behind only if it last sent a digest that this node had before.
 * Not thread-safe: one thread drives it.
 */
public final class PeerConfigurationTracker {
    private static final int PREVIOUS_DIGESTS_KEPT = 64;

    private final Map<NodeId, Long> digests = new HashMap<>();
    private final Deque<Long> previousDigests = new ArrayDeque<>();
    private long ownDigest;

    /** How a peer's configurations compare to those of this node. */
    public enum VersionStatus {
        /** The peer last reported the same versions. */
        SAME,
        /** The peer last reported versions that this node has since replaced. */
        BEHIND,
        /** The peer last reported a set of versions that this node never had. */
        DIFFERENT,
        /** The peer has not reported its versions. */
        UNKNOWN
    }

    /** Records the digest of this node after a change. */
    public void onOwnDigest(long digest) {
        if (digest == ownDigest) {
            return;
        }
        previousDigests.addFirst(ownDigest);
        if (previousDigests.size() > PREVIOUS_DIGESTS_KEPT) {
            previousDigests.removeLast();
        }
        ownDigest = digest;
    }

    /** Records a peer's digest. */
    public void onPeerDigest(NodeId peer, long digest) {
        digests.put(peer, digest);
    }

    /** Removes a peer that died or left. */
    public void forget(NodeId peer) {
        digests.remove(peer);
    }

    /** Compares the peer's last digest to that of this node. */
    public VersionStatus statusOf(NodeId peer) {
        Long digest = digests.get(peer);
        if (digest == null) {
            return VersionStatus.UNKNOWN;
        }
        if (digest == ownDigest) {
            return VersionStatus.SAME;
        }
        return previousDigests.contains(digest) ? VersionStatus.BEHIND : VersionStatus.DIFFERENT;
    }
}
