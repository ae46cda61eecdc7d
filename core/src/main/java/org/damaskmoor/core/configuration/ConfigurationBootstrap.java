package org.damaskmoor.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.damaskmoor.core.configuration.ServiceTable.Row;
import org.damaskmoor.core.id.NodeId;

/**
 * Loads all configurations into a starting node from a few peers and the platform's table.
 * Afterwards it reads the table from time to time, to find changes whose node crashed before
 * announcing them.
 *
 * <p>Invariant: ready only after the table or at least one peer answered, and the other requests
 * were answered, failed or timed out. Not thread-safe: one thread drives it.
 */
public final class ConfigurationBootstrap {
    private static final int PEERS_ASKED = 3;
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 3_000;

    /** Average time between two reads of the whole table, over all nodes. */
    private static final long FLEET_READ_INTERVAL_MILLISECONDS = 6_000;

    private final ConfigurationStore store;
    private final ConfigurationRequester requester;
    private final ServiceTable table;
    private final Executor driver;
    private final Set<NodeId> pendingPeers = new HashSet<>();
    private boolean peerAnswered;
    private boolean tableAnswered;
    private boolean tableReadPending;
    private boolean ready;
    private long deadlineMilliseconds;
    private long nextReadMilliseconds;

    /**
     * Creates a bootstrap; call {@link #requestAll} first.
     *
     * @param driver runs tasks on the thread that drives this object
     */
    public ConfigurationBootstrap(
            ConfigurationStore store,
            ConfigurationRequester requester,
            ServiceTable table,
            Executor driver) {
        this.store = store;
        this.requester = requester;
        this.table = table;
        this.driver = driver;
    }

    /** Requests all configurations from the table and the first few of these peers. */
    public void requestAll(List<NodeId> peers, long nowMilliseconds) {
        deadlineMilliseconds = nowMilliseconds + ANSWER_TIMEOUT_MILLISECONDS;
        pendingPeers.clear();
        for (NodeId peer : peers.subList(0, Math.min(PEERS_ASKED, peers.size()))) {
            pendingPeers.add(peer);
            requester.request(peer, List.of());
        }
        readTable();
    }

    private void readTable() {
        tableReadPending = true;
        CompletableFuture<?> unused = table.readAll().whenCompleteAsync(this::onRows, driver);
    }

    private void onRows(List<Row> rows, Throwable problem) {
        tableReadPending = false;
        if (problem == null) {
            tableAnswered = true;
            rows.forEach(row -> store.accept(row.configuration()));
        }
    }

    /** A peer's answer was processed by {@link ConfigurationPuller#onAnswer}. */
    public void onAnswer(NodeId peer) {
        peerAnswered |= pendingPeers.remove(peer);
    }

    /** A request to a peer failed. */
    public void onFailure(NodeId peer) {
        pendingPeers.remove(peer);
    }

    /**
     * Repeats the requests if none was answered in time, and reads the table when its next read is
     * due.
     *
     * @param peers live peers, nearest first
     * @param randomFraction random number from 0 to 1, new for each call
     */
    public void tick(List<NodeId> peers, double randomFraction, long nowMilliseconds) {
        if (isReady(nowMilliseconds)) {
            readTableWhenDue(peers.size() + 1, randomFraction, nowMilliseconds);
        } else if (nowMilliseconds >= deadlineMilliseconds) {
            requestAll(peers, nowMilliseconds);
        }
    }

    private void readTableWhenDue(int nodes, double randomFraction, long nowMilliseconds) {
        if (nowMilliseconds < nextReadMilliseconds) {
            return;
        }
        boolean first = nextReadMilliseconds == 0;
        double interval = 2.0 * randomFraction * nodes * FLEET_READ_INTERVAL_MILLISECONDS;
        nextReadMilliseconds = nowMilliseconds + (long) Math.max(1, interval);
        if (!first && !tableReadPending) {
            readTable();
        }
    }

    /** Returns whether the node holds the newest configurations that peers and table provided. */
    public boolean isReady(long nowMilliseconds) {
        boolean allAnswered = pendingPeers.isEmpty() && !tableReadPending;
        boolean waitedEnough = allAnswered || nowMilliseconds >= deadlineMilliseconds;
        ready |= (tableAnswered || peerAnswered) && waitedEnough;
        return ready;
    }

    /** Returns whether the table has answered since the node started. */
    public boolean hasTableAnswered() {
        return tableAnswered;
    }
}
