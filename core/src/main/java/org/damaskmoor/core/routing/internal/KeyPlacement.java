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
final class KeyPlacement {
    private KeyPlacement() {}

    /** The target for the key, or null when none takes new work. */
    static TargetState place(TargetState[] targets, long keyHash, Set<NodeId> excluded) {
        TargetState best = null;
        for (TargetState target : targets) {
            if (target.takesNewWork() && !excluded.contains(target.target().id().node())) {
                best = better(best, target, keyHash);
            }
        }
        return best;
    }

    /** The one of two targets, either of which may be null, at which the key has its place. */
    static TargetState better(TargetState first, TargetState second, long keyHash) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return goesBefore(second, first, keyHash) ? second : first;
    }

    private static boolean goesBefore(TargetState target, TargetState other, long keyHash) {
        long rank = StableHash.combine(keyHash, target.hash());
        long otherRank = StableHash.combine(keyHash, other.hash());
        if (rank != otherRank) {
            return Long.compareUnsigned(rank, otherRank) > 0;
        }
        return target.target().id().node().compareTo(other.target().id().node()) < 0;
    }
}
