package org.damaskmoor.core.election;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;

/**
 * Elects the node of a data centre that asks the platform's store on behalf of the others.
 *
 * <p>Answers a load that grows with the fleet: when each node waits for changes of members by
 * itself, each change costs one call to the store for every node.
 *
 * <p>The first node in the order of their hashes reads and sends a sign at intervals. When no sign
 * of a node before it has come for a while, the next one takes over; later ones wait longer, so
 * that few take over at once. Two readers at a time do no harm.
 *
 * <p>Not thread-safe. Invariant: a node that hears a reader ranked before itself is not one.
 */
public final class ReaderElection {
    /** How often a reader sends its sign; a fraction of the timeout, so that one may be lost. */
    public static final long PERIOD_MILLISECONDS = 600;

    /** Silence after which a reader counts as gone: two signs may be lost or late. */
    public static final long TIMEOUT_MILLISECONDS = 1400;

    /** How much later each further node takes over: time for a sign to arrive. */
    private static final long STEP_MILLISECONDS = 150;

    private final NodeId self;
    private final long listeningSince;
    private final Map<NodeId, Sign> signs = new HashMap<>();

    private record Sign(long at, boolean storeAnswers) {}

    /**
     * Creates an election that has heard nothing.
     *
     * @param self this node
     * @param now milliseconds of a steady clock
     */
    public ReaderElection(NodeId self, long now) {
        this.self = self;
        this.listeningSince = now;
    }

    /** A reader sent a sign. */
    public void onHeartbeat(NodeId reader, boolean storeAnswers, long now) {
        signs.values().removeIf(sign -> now - sign.at() >= TIMEOUT_MILLISECONDS);
        signs.put(reader, new Sign(now, storeAnswers));
    }

    /** Whether this node is to read for its data centre. */
    public boolean isReader(Collection<NodeId> dataCentre, long now) {
        long own = StableHash.of(self.value());
        long silentSince = listeningSince;
        long rank = 0;
        for (NodeId node : dataCentre) {
            if (!node.equals(self) && StableHash.of(node.value()) < own) {
                rank++;
                Sign sign = signs.get(node);
                silentSince = sign == null ? silentSince : Math.max(silentSince, sign.at());
            }
        }
        return rank == 0 || now - silentSince >= TIMEOUT_MILLISECONDS + rank * STEP_MILLISECONDS;
    }

    /** Whether some reader that the store answers was heard lately. */
    public boolean hasHealthyReader(long now) {
        return signs.values().stream().anyMatch(sign -> sign.storeAnswers() && isFresh(sign, now));
    }

    private static boolean isFresh(Sign sign, long now) {
        return now - sign.at() < TIMEOUT_MILLISECONDS;
    }
}
