package org.damaskmoor.core.configuration;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.damaskmoor.core.configuration.ServiceTable.Row;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.mesh.ConfigurationAnswer;

/**
 * Fetches configurations whose versions were announced: from the announcing peers, one after
 * another, and from the platform's table if they do not provide them.
 *
 * <p>Invariant: a version is requested until it or a newer one is stored. Not thread-safe: one
 * thread drives it, and results of the table are passed to that thread's executor.
 */
public final class ConfigurationPuller {
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 500;
    private static final long TABLE_TIMEOUT_MILLISECONDS = 3_000;
    private static final int PEERS_BEFORE_TABLE = 2;

    private final ConfigurationStore store;
    private final ConfigurationRequester requester;
    private final ServiceTable table;
    private final Executor driver;
    private final Map<String, Wanted> wanted = new TreeMap<>();

    private static final class Wanted {
        final LinkedHashSet<NodeId> sources = new LinkedHashSet<>();
        long version;
        int attempts;
        NodeId askedPeer;
        long deadlineMilliseconds;
    }

    /**
     * Creates a puller.
     *
     * @param driver runs tasks on the thread that drives this object
     */
    public ConfigurationPuller(
            ConfigurationStore store,
            ConfigurationRequester requester,
            ServiceTable table,
            Executor driver) {
        this.store = store;
        this.requester = requester;
        this.table = table;
        this.driver = driver;
    }

    /**
     * Records that a peer announced a version; the next {@link #tick} requests it if it is missing.
     */
    public void onVersionAnnounced(NodeId peer, ConfigurationVersion version) {
        if (!store.lacks(version)) {
            return;
        }
        Wanted entry = wanted.computeIfAbsent(version.getService(), name -> new Wanted());
        if (version.getVersion() > entry.version) {
            entry.version = version.getVersion();
            entry.sources.clear();
            entry.attempts = 0;
            entry.deadlineMilliseconds = 0;
        }
        entry.sources.add(peer);
    }

    /**
     * Requests missing versions whose previous request timed out. Call it every 100 milliseconds.
     */
    public void tick(long nowMilliseconds) {
        wanted.entrySet().removeIf(entry -> isHeld(entry.getKey(), entry.getValue()));
        Map<NodeId, List<String>> requests = new HashMap<>();
        for (Map.Entry<String, Wanted> entry : wanted.entrySet()) {
            if (nowMilliseconds >= entry.getValue().deadlineMilliseconds) {
                ask(entry.getKey(), entry.getValue(), requests, nowMilliseconds);
            }
        }
        requests.forEach(requester::request);
    }

    private boolean isHeld(String service, Wanted entry) {
        return store.versionOf(service) >= entry.version;
    }

    private void ask(
            String service,
            Wanted entry,
            Map<NodeId, List<String>> requests,
            long nowMilliseconds) {
        boolean tableIsNext = entry.attempts % (PEERS_BEFORE_TABLE + 1) == PEERS_BEFORE_TABLE;
        entry.attempts++;
        if (tableIsNext || entry.sources.isEmpty()) {
            entry.askedPeer = null;
            entry.deadlineMilliseconds = nowMilliseconds + TABLE_TIMEOUT_MILLISECONDS;
            readTable(service);
            return;
        }
        entry.askedPeer = nextSource(entry);
        entry.deadlineMilliseconds = nowMilliseconds + ANSWER_TIMEOUT_MILLISECONDS;
        requests.computeIfAbsent(entry.askedPeer, peer -> new ArrayList<>()).add(service);
    }

    /** Returns the least recently asked source and moves it to the end. */
    private static NodeId nextSource(Wanted entry) {
        NodeId source = entry.sources.iterator().next();
        entry.sources.remove(source);
        entry.sources.add(source);
        return source;
    }

    private void readTable(String service) {
        CompletableFuture<?> unused =
                table.read(new ServiceName(service))
                        .whenCompleteAsync((row, problem) -> onRow(service, row, problem), driver);
    }

    private void onRow(String service, Optional<Row> row, Throwable problem) {
        if (problem == null) {
            row.ifPresent(found -> store.accept(found.configuration()));
        }
        Wanted entry = wanted.get(service);
        if (entry != null && entry.askedPeer == null) {
            entry.deadlineMilliseconds = Math.min(entry.deadlineMilliseconds, 0);
        }
    }

    /** Stores the configurations in a peer's answer, except those that cannot be parsed. */
    public void onAnswer(NodeId peer, ConfigurationAnswer answer) {
        for (ByteString bytes : answer.getConfigurationsList()) {
            try {
                store.accept(VersionedConfiguration.parseFrom(bytes));
            } catch (InvalidProtocolBufferException problem) {
                onFailure(peer);
            }
        }
    }

    /** A request to the peer failed: the next source is asked at the next tick. */
    public void onFailure(NodeId peer) {
        for (Wanted entry : wanted.values()) {
            if (peer.equals(entry.askedPeer)) {
                entry.deadlineMilliseconds = 0;
            }
        }
    }

    /** Returns whether an announced version is still missing. */
    public boolean isWaiting() {
        return wanted.entrySet().stream()
                .anyMatch(entry -> !isHeld(entry.getKey(), entry.getValue()));
    }

    /** Returns the answer to a {@code ConfigurationRequest} for these services (empty: all). */
    public static ConfigurationAnswer answer(
            ConfigurationStore store, Collection<String> services) {
        ConfigurationAnswer.Builder answer = ConfigurationAnswer.newBuilder();
        for (VersionedConfiguration configuration : store.all()) {
            boolean requested =
                    services.isEmpty() || services.contains(configuration.getService().getName());
            if (requested) {
                answer.addConfigurations(configuration.toByteString());
            }
        }
        return answer.build();
    }
}
