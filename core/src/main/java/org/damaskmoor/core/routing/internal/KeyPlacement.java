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
        long greatest = 0;
        for (TargetState target : targets) {
            if (!target.takesNewWork() || excluded.contains(target.target().id().node())) {
                continue;
            }
            long rank = StableHash.combine(keyHash, target.hash());
            if (best == null || goesBefore(rank, target, greatest, best)) {
                best = target;
                greatest = rank;
            }
        }
        return best;
    }

    private static boolean goesBefore(
            long rank, TargetState target, long greatest, TargetState best) {
        if (rank != greatest) {
            return Long.compareUnsigned(rank, greatest) > 0;
        }
        return target.target().id().node().compareTo(best.target().id().node()) < 0;
    }
}
