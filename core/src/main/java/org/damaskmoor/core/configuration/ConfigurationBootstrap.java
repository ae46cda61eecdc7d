package org.damaskmoor.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.damaskmoor.core.configuration.ServiceTable.Row;
import org.damaskmoor.core.id.NodeId;

/**
 * Brings a fresh node up to date: asks a few peers and the platform's table for everything, and
 * afterwards reads the table now and then for a change whose node crashed before it told anyone.
 *
 * <p>Invariant: ready only once the table answered or, while it is silent, a peer did, and every
 * other one that was asked answered or ran out of time. Not thread-safe: one thread drives it.
 */
public final class ConfigurationBootstrap {
    private static final int PEERS_ASKED = 3;
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 3_000;

    /** Time between two reads of the whole table by all nodes together. */
    private static final long GROUP_READ_INTERVAL_MILLISECONDS = 6_000;

    private final ConfigurationStore store;
    private final ConfigurationRequester requester;
    private final ServiceTable table;
    private final Executor driver;
    private final Set<NodeId> silentPeers = new HashSet<>();
    private boolean peerAnswered;
    private boolean tableAnswered;
    private boolean tableSilent;
    private boolean ready;
    private long deadlineMilliseconds;
    private long nextReadMilliseconds;

    /**
     * A start; begin with {@link #requestAll}.
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

    /** Asks the first few of these peers, nearest first, and the table. */
    public void requestAll(List<NodeId> peers, long nowMilliseconds) {
        deadlineMilliseconds = nowMilliseconds + ANSWER_TIMEOUT_MILLISECONDS;
        silentPeers.clear();
        for (NodeId peer : peers.subList(0, Math.min(PEERS_ASKED, peers.size()))) {
            silentPeers.add(peer);
            requester.request(peer, List.of());
        }
        readTable();
    }

    private void readTable() {
        tableSilent = true;
        CompletableFuture<?> unused = table.readAll().whenCompleteAsync(this::onRows, driver);
    }

    private void onRows(List<Row> rows, Throwable problem) {
        tableSilent = false;
        if (problem == null) {
            tableAnswered = true;
            rows.forEach(row -> store.accept(row.configuration()));
        }
    }

    /** A peer's answer was taken in by {@link ConfigurationPuller#onAnswer}. */
    public void onAnswer(NodeId peer) {
        peerAnswered |= silentPeers.remove(peer);
    }

    /** A peer could not be asked. */
    public void onFailure(NodeId peer) {
        silentPeers.remove(peer);
    }

    /**
     * Does what is due: asks again when nobody answered, reads the table when it is this node's
     * turn.
     *
     * @param peers present peers, nearest first
     * @param turn from 0 to 1, drawn at random for each call
     */
    public void tick(List<NodeId> peers, double turn, long nowMilliseconds) {
        if (isReady(nowMilliseconds)) {
            readInTurn(peers.size() + 1, turn, nowMilliseconds);
        } else if (nowMilliseconds >= deadlineMilliseconds) {
            requestAll(peers, nowMilliseconds);
        }
    }

    private void readInTurn(int nodes, double turn, long nowMilliseconds) {
        if (nowMilliseconds < nextReadMilliseconds) {
            return;
        }
        boolean first = nextReadMilliseconds == 0;
        double interval = 2.0 * turn * nodes * GROUP_READ_INTERVAL_MILLISECONDS;
        nextReadMilliseconds = nowMilliseconds + (long) Math.max(1, interval);
        if (!first && !tableSilent) {
            readTable();
        }
    }

    /** Whether the node holds the newest of what peers and table can give. */
    public boolean isReady(long nowMilliseconds) {
        boolean allAnswered = silentPeers.isEmpty() && !tableSilent;
        boolean waitedEnough = allAnswered || nowMilliseconds >= deadlineMilliseconds;
        ready |= (tableAnswered || peerAnswered) && waitedEnough;
        return ready;
    }

    /** Whether the table answered since the start of the node. */
    public boolean hasTableAnswered() {
        return tableAnswered;
    }
}
