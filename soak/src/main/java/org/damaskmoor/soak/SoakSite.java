package org.damaskmoor.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.soak.fault.FaultInjectingProxy;
import org.damaskmoor.soak.verification.Evacuation;
import org.damaskmoor.soak.verification.RunLedger;

/**
 * The system under test: relay processes with their store, upstreams and fault-injecting proxies.
 *
 * <p>Thread-safe. Invariant: closing the site ends everything that it started.
 */
final class SoakSite implements AutoCloseable {
    private static final int REGIONS = 2;
    private static final int NONE = -1;
    private static final String OPERATOR_TABLE = "op";

    /** Copies of the store that are kept, one for each change of the configuration. */
    private static final int MAX_COPIES = 5;

    private static final long STARTUP_TIMEOUT_MILLISECONDS = 20_000;
    private static final long POLL_MILLISECONDS = 50;

    /** One relay with its upstream and the proxies in front of its connections. */
    record Node(
            RelayProcess process,
            String settings,
            SoakUpstream upstream,
            FaultInjectingProxy callerProxy,
            FaultInjectingProxy linkProxy,
            FaultInjectingProxy storeProxy,
            FaultInjectingProxy upstreamProxy) {}

    private final LongSupplier clock;
    private final RunLedger ledger;
    private final PortAllocator ports;
    private final StoreStandIn store = new StoreStandIn();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Integer, NavigableSet<Long>> readyAt = new HashMap<>();
    private final Map<Integer, Long> storedAt = new ConcurrentHashMap<>();
    private final Deque<StoreStandIn.Copy> copies = new ArrayDeque<>();
    private final List<Evacuation> evacuations = new ArrayList<>();
    private int evacuatedRegion = NONE;
    private long evacuatedFrom;
    private int version;

    SoakSite(
            Path jar,
            Path directory,
            int relays,
            RandomGenerator random,
            LongSupplier clock,
            RunLedger ledger)
            throws IOException {
        this.clock = clock;
        this.ledger = ledger;
        this.ports = new PortAllocator(random);
        for (int i = 0; i < relays; i++) {
            nodes.add(node(jar, directory, i));
            readyAt.put(i, new ConcurrentSkipListSet<>());
        }
    }

    private Node node(Path jar, Path directory, int number) throws IOException {
        InetSocketAddress callers = ports.allocate();
        InetSocketAddress links = ports.allocate();
        InetSocketAddress ready = ports.allocate();
        InetSocketAddress announcements = ports.allocate();
        InetSocketAddress upstream = ports.allocate();
        FaultInjectingProxy storeProxy =
                new FaultInjectingProxy(ports.allocate(), store.address(), clock);
        FaultInjectingProxy upstreamProxy =
                new FaultInjectingProxy(ports.allocate(), upstream, clock);
        FaultInjectingProxy linkProxy = new FaultInjectingProxy(ports.allocate(), links, clock);
        String name = "relay-" + number;
        String settings =
                String.join(
                        "\n",
                        "node-id=" + name,
                        "region=region-" + number % REGIONS,
                        "data-centre=" + dataCentre(number % REGIONS),
                        "service=books",
                        "caller-address=" + hostAndPort(callers),
                        "link-address=" + hostAndPort(links),
                        "advertised-link-address=" + hostAndPort(linkProxy.address()),
                        "readiness-address=" + hostAndPort(ready),
                        "announcement-address=" + hostAndPort(announcements),
                        "upstream-address=" + hostAndPort(upstreamProxy.address()),
                        "store-address=" + hostAndPort(storeProxy.address()),
                        "drain=2500ms",
                        "stop-timeout=6s",
                        "retry-ratio=0.2",
                        "retry-slack=64",
                        "retry-window=10s",
                        "health-checks-per-second=20",
                        "revocation-timeout=" + SoakTenants.REVOCATION_MILLISECONDS + "ms",
                        "revocation-fail-closed=true",
                        "");
        return new Node(
                new RelayProcess(jar, directory, name, settings, ready),
                settings,
                new SoakUpstream(
                        number,
                        upstream.getPort(),
                        announcements,
                        ledger,
                        clock,
                        line -> append(directory.resolve("upstream-" + number + ".log"), line)),
                new FaultInjectingProxy(ports.allocate(), callers, clock),
                linkProxy,
                storeProxy,
                upstreamProxy);
    }

    private static void append(Path file, String line) {
        try {
            Files.writeString(
                    file,
                    "time=" + System.currentTimeMillis() + " " + line + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts all processes and waits until each relay is ready. */
    void start() throws IOException, InterruptedException {
        changeConfiguration();
        for (Node node : nodes) {
            node.process().start();
            node.upstream().start();
        }
        for (int i = 0; i < nodes.size(); i++) {
            if (!awaitReady(i, STARTUP_TIMEOUT_MILLISECONDS)) {
                throw new IOException("relay " + i + " did not become ready in time; see its log");
            }
        }
    }

    /** Waits until a relay is ready; returns false on timeout. */
    boolean awaitReady(int number, long milliseconds) throws InterruptedException {
        long until = clock.getAsLong() + milliseconds;
        while (!nodes.get(number).process().isReady()) {
            if (clock.getAsLong() > until) {
                return false;
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
        readyAt.get(number).add(clock.getAsLong());
        return true;
    }

    /** Stores the next configuration version, which has one more route. */
    synchronized void changeConfiguration() {
        version++;
        StringBuilder routes = new StringBuilder();
        for (int i = 1; i <= version; i++) {
            routes.append(',')
                    .append(ConfigurationJson.route("v" + i, "/v" + i + "/", "idempotent"));
        }
        copies.addLast(store.copy());
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
        store.putConfiguration(SoakTenants.configuration(version, routes.toString()));
        storedAt.put(version, clock.getAsLong());
    }

    /** Returns a copy of the store from some changes of the configuration ago. */
    synchronized StoreStandIn.Copy olderCopy() {
        return copies.getFirst();
    }

    /** Restores the store from a copy; the operator writes again what was written since. */
    synchronized void restore(StoreStandIn.Copy copy) {
        final int evacuatedBefore = evacuatedRegion;
        recordEvacuation();
        store.restore(copy);
        for (int region = 0; region < REGIONS; region++) {
            if (store.containsRow(OPERATOR_TABLE, evacuationKey(region))) {
                store.removeRow(OPERATOR_TABLE, evacuationKey(region));
            }
        }
        if (evacuatedBefore != NONE) {
            evacuate(evacuatedBefore);
        }
    }

    /** Evacuates the data centre of a relay. */
    synchronized void evacuate(int relay) {
        int region = relay % REGIONS;
        store.putRow(OPERATOR_TABLE, evacuationKey(region), new byte[0]);
        evacuatedRegion = region;
        evacuatedFrom = clock.getAsLong();
    }

    /** Ends the evacuation. */
    synchronized void endEvacuation() {
        int region = evacuatedRegion;
        recordEvacuation();
        store.removeRow(OPERATOR_TABLE, evacuationKey(region));
    }

    private void recordEvacuation() {
        if (evacuatedRegion != NONE) {
            evacuations.add(
                    new Evacuation(relays(evacuatedRegion), evacuatedFrom, clock.getAsLong()));
            evacuatedRegion = NONE;
        }
    }

    private static String dataCentre(int region) {
        return "data-centre-" + region;
    }

    private static String evacuationKey(int region) {
        return "evacuate/" + dataCentre(region);
    }

    /** Returns the relays of a region, which has one data centre. */
    Set<Integer> relays(int region) {
        return IntStream.range(0, nodes.size())
                .filter(relay -> relay % REGIONS == region)
                .boxed()
                .collect(Collectors.toSet());
    }

    /** Returns the evacuations that have ended. */
    synchronized List<Evacuation> evacuations() {
        return List.copyOf(evacuations);
    }

    /** Returns the newest version in the store. */
    synchronized int version() {
        return version;
    }

    /** Returns the time at which the store had acknowledged each version. */
    Map<Integer, Long> storedAt() {
        return storedAt;
    }

    /** Returns the times at which the successive processes of each relay became ready. */
    Map<Integer, NavigableSet<Long>> readyAt() {
        return readyAt;
    }

    StoreStandIn store() {
        return store;
    }

    List<Node> nodes() {
        return nodes;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.process().close();
            node.upstream().close();
            node.callerProxy().close();
            node.linkProxy().close();
            node.storeProxy().close();
            node.upstreamProxy().close();
        }
        store.close();
        ports.close();
    }
}
