package org.damaskmoor.core.routing.internal;

import java.util.Set;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;

/**
 * Maps keys to targets by rendezvous (highest random weight) hashing: each key maps to the target
 * with the greatest combined hash of key and node name. A joining or leaving target moves only the
 * keys that map to it.
 *
 * <p>Stateless and thread-safe.
 */
final class RendezvousHashing {
    private RendezvousHashing() {}

    /** Returns the target for the key, or null when no target takes new work. */
    static TargetState select(TargetState[] targets, long keyHash, Set<NodeId> excluded) {
        TargetState best = null;
        for (TargetState target : targets) {
            if (target.takesNewWork() && !excluded.contains(target.target().id().node())) {
                best = higherRanked(best, target, keyHash);
            }
        }
        return best;
    }

    /** Returns whichever of two targets ranks higher for the key; either may be null. */
    static TargetState higherRanked(TargetState first, TargetState second, long keyHash) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return ranksHigher(second, first, keyHash) ? second : first;
    }

    private static boolean ranksHigher(TargetState target, TargetState other, long keyHash) {
        long rank = StableHash.combine(keyHash, target.nodeHash());
        long otherRank = StableHash.combine(keyHash, other.nodeHash());
        if (rank != otherRank) {
            return Long.compareUnsigned(rank, otherRank) > 0;
        }
        return target.target().id().node().compareTo(other.target().id().node()) < 0;
    }
}
