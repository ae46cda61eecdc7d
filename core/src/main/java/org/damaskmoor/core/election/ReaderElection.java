package org.damaskmoor.core.election;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;

/**
 * Elects the node of a data centre that reads from the platform's store on behalf of the others.
 *
 * <p>A single reader keeps the load on the store independent of the fleet's size: if each node
 * watched for membership changes itself, each change would cost one call to the store per node.
 *
 * <p>The node with the lowest hash is the reader and sends periodic heartbeats. A node takes over
 * when it has received no heartbeat from any node ranked before it for a timeout that grows with
 * its rank, so that few nodes take over at once. Two concurrent readers are harmless.
 *
 * <p>Invariant: a node that receives heartbeats from a reader ranked before it is not a reader
 * itself. Not thread-safe.
 */
public final class ReaderElection {
    /**
     * Interval between a reader's heartbeats; less than half of the timeout, so that one may be
     * lost.
     */
    public static final long PERIOD_MILLISECONDS = 600;

    /**
     * Time without a heartbeat after which a reader counts as failed; one heartbeat may be lost and
     * the next one late by less than 200 ms.
     */
    public static final long TIMEOUT_MILLISECONDS = 1400;

    /** Additional timeout per rank, long enough for a heartbeat to arrive. */
    private static final long RANK_DELAY_MILLISECONDS = 150;

    /**
     * Nodes after the first that may send heartbeats in its place. The store may refuse a third of
     * the nodes; it then refuses the first four together in about one of 80 cases.
     */
    private static final int SUBSTITUTES = 3;

    private final NodeId self;
    private final long ownHash;
    private final long startedAt;
    private final Map<NodeId, Heartbeat> heartbeats = new HashMap<>();

    private record Heartbeat(long at, boolean storeAnswers) {}

    /**
     * Creates an election that has received no heartbeat.
     *
     * @param self this node
     * @param now current time in milliseconds of a monotonic clock
     */
    public ReaderElection(NodeId self, long now) {
        this.self = self;
        this.ownHash = StableHash.of(self.value());
        this.startedAt = now;
    }

    /**
     * Called when a heartbeat of a reader arrived; {@code storeAnswers} is whether the store
     * answers the reader.
     */
    public void onHeartbeat(NodeId reader, boolean storeAnswers, long now) {
        heartbeats.values().removeIf(heartbeat -> now - heartbeat.at() >= TIMEOUT_MILLISECONDS);
        heartbeats.put(reader, new Heartbeat(now, storeAnswers));
    }

    /** Number of nodes of the data centre that are preferred to this node as the reader. */
    public long rank(Collection<NodeId> dataCentre) {
        return dataCentre.stream().filter(this::isPreferred).count();
    }

    private boolean isPreferred(NodeId node) {
        return !node.equals(self) && StableHash.of(node.value()) < ownHash;
    }

    /** Whether this node is a reader for its data centre. */
    public boolean isReader(Collection<NodeId> dataCentre, long now) {
        long lastHeartbeatAt = startedAt;
        long rank = 0;
        for (NodeId node : dataCentre) {
            if (isPreferred(node)) {
                rank++;
                Heartbeat heartbeat = heartbeats.get(node);
                lastHeartbeatAt =
                        heartbeat == null
                                ? lastHeartbeatAt
                                : Math.max(lastHeartbeatAt, heartbeat.at());
            }
        }
        return rank == 0
                || now - lastHeartbeatAt >= TIMEOUT_MILLISECONDS + rank * RANK_DELAY_MILLISECONDS;
    }

    /**
     * Whether this node, which the store answers, sends heartbeats although it is not the reader:
     * it is among the first nodes, and the store answers none of those that are preferred to it.
     */
    public boolean isSubstitute(Collection<NodeId> dataCentre, long now) {
        long rank = rank(dataCentre);
        return rank > 0
                && rank <= SUBSTITUTES
                && dataCentre.stream()
                        .filter(this::isPreferred)
                        .map(heartbeats::get)
                        .noneMatch(
                                last -> last != null && last.storeAnswers() && isFresh(last, now));
    }

    /** Whether a heartbeat arrived recently from a reader that the store answers. */
    public boolean hasHealthyReader(long now) {
        return heartbeats.values().stream()
                .anyMatch(heartbeat -> heartbeat.storeAnswers() && isFresh(heartbeat, now));
    }

    private static boolean isFresh(Heartbeat heartbeat, long now) {
        return now - heartbeat.at() < TIMEOUT_MILLISECONDS;
    }
}
