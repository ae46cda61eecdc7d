package org.damaskmoor.core.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.NodeId;

/**
 * Which peers are behind, from the digests that they were last heard with.
 *
 * <p>Invariant: a peer is called behind only if it was heard with a digest that this node itself
 * had before. Not thread-safe: one thread drives it.
 */
public final class PeerConfigurationTracker {
    private static final int FORMER_DIGESTS_KEPT = 64;

    private final Map<NodeId, Long> digests = new HashMap<>();
    private final Deque<Long> formerDigests = new ArrayDeque<>();
    private long ownDigest;

    /** How a peer's configuration stands to the own one. */
    public enum Standing {
        /** It was heard with the same versions. */
        SAME,
        /** It was last heard with versions that this node has left behind. */
        BEHIND,
        /** It was heard with versions that this node never held as a whole. */
        DIFFERENT,
        /** It was never heard. */
        UNKNOWN
    }

    /** Notes the digest of the own versions after a change. */
    public void onOwnDigest(long digest) {
        if (digest == ownDigest) {
            return;
        }
        formerDigests.addFirst(ownDigest);
        if (formerDigests.size() > FORMER_DIGESTS_KEPT) {
            formerDigests.removeLast();
        }
        ownDigest = digest;
    }

    /** Notes a peer's digest. */
    public void onPeerDigest(NodeId peer, long digest) {
        digests.put(peer, digest);
    }

    /** Forgets a peer that died or left. */
    public void forget(NodeId peer) {
        digests.remove(peer);
    }

    /** How the peer stood when it was last heard. */
    public Standing statusOf(NodeId peer) {
        Long digest = digests.get(peer);
        if (digest == null) {
            return Standing.UNKNOWN;
        }
        if (digest == ownDigest) {
            return Standing.SAME;
        }
        return formerDigests.contains(digest) ? Standing.BEHIND : Standing.DIFFERENT;
    }
}
