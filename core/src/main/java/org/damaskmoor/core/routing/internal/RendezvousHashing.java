package org.damaskmoor.core.routing.internal;

import java.util.Set;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;

/**
 * Places keys on targets by rendezvous hashing: the target with the greatest hash of key and node
 * name. A target that comes or goes moves only the keys that it gains or had.
 *
 * <p>Stateless and thread-safe.
 */
final class RendezvousHashing {
    private RendezvousHashing() {}

    /** The target for the key, or null when none takes new work. */
    static TargetState select(TargetState[] targets, long keyHash, Set<NodeId> excluded) {
        TargetState best = null;
        for (TargetState target : targets) {
            if (target.takesNewWork() && !excluded.contains(target.target().id().node())) {
                best = higherRanked(best, target, keyHash);
            }
        }
        return best;
    }

    /** The one of two targets, either of which may be null, at which the key has its place. */
    static TargetState higherRanked(TargetState first, TargetState second, long keyHash) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return goesBefore(second, first, keyHash) ? second : first;
    }

    private static boolean goesBefore(TargetState target, TargetState other, long keyHash) {
        long rank = StableHash.combine(keyHash, target.nodeHash());
        long otherRank = StableHash.combine(keyHash, other.nodeHash());
        if (rank != otherRank) {
            return Long.compareUnsigned(rank, otherRank) > 0;
        }
        return target.target().id().node().compareTo(other.target().id().node()) < 0;
    }
}
