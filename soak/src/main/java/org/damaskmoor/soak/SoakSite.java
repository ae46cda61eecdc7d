package org.damaskmoor.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.soak.fault.FaultyLink;
import org.damaskmoor.soak.promise.RunLedger;

/**
 * Relays as processes, with the store, upstreams and faulty links around them.
 *
 * <p>Thread-safe. Invariant: all that it started ends when it is closed.
 */
final class SoakSite implements AutoCloseable {
    private static final int REGIONS = 2;
    private static final long START_MILLISECONDS = 20_000;
    private static final long STEP_MILLISECONDS = 50;

    /** One relay with what is around it. */
    record Node(
            RelayProcess process,
            String settings,
            SoakUpstream upstream,
            FaultyLink callers,
            FaultyLink links,
            FaultyLink storeLink,
            FaultyLink upstreamLink) {}

    private final LongSupplier clock;
    private final RunLedger ledger;
    private final Places places;
    private final StoreStandIn store = new StoreStandIn();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Integer, NavigableSet<Long>> startedAt = new HashMap<>();
    private final Map<Integer, Long> acknowledged = new ConcurrentHashMap<>();
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
        this.places = new Places(random);
        for (int i = 0; i < relays; i++) {
            nodes.add(node(jar, directory, i));
            startedAt.put(i, new ConcurrentSkipListSet<>());
        }
    }

    private Node node(Path jar, Path directory, int number) throws IOException {
        InetSocketAddress callers = places.free();
        InetSocketAddress links = places.free();
        InetSocketAddress ready = places.free();
        InetSocketAddress announcements = places.free();
        InetSocketAddress upstream = places.free();
        FaultyLink storeLink = new FaultyLink(places.free(), store.address(), clock);
        FaultyLink upstreamLink = new FaultyLink(places.free(), upstream, clock);
        FaultyLink linkProxy = new FaultyLink(places.free(), links, clock);
        String name = "relay-" + number;
        String settings =
                String.join(
                        "\n",
                        "node-id=" + name,
                        "region=region-" + number % REGIONS,
                        "data-centre=data-centre-" + number % REGIONS,
                        "service=books",
                        "caller-address=" + text(callers),
                        "link-address=" + text(links),
                        "advertised-link-address=" + text(linkProxy.address()),
                        "readiness-address=" + text(ready),
                        "announcement-address=" + text(announcements),
                        "upstream-address=" + text(upstreamLink.address()),
                        "store-address=" + text(storeLink.address()),
                        "drain=2500ms",
                        "stop-timeout=6s",
                        "retry-ratio=0.2",
                        "retry-slack=64",
                        "retry-window=10s",
                        "health-checks-per-second=20",
                        "");
        return new Node(
                new RelayProcess(jar, directory, name, settings, ready),
                settings,
                new SoakUpstream(number, upstream.getPort(), announcements, ledger, clock),
                new FaultyLink(places.free(), callers, clock),
                linkProxy,
                storeLink,
                upstreamLink);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts all and waits until each relay takes callers. */
    void start() throws IOException, InterruptedException {
        changeConfiguration();
        for (Node node : nodes) {
            node.process().start();
            node.upstream().start();
        }
        for (int i = 0; i < nodes.size(); i++) {
            if (!awaitReady(i, START_MILLISECONDS)) {
                throw new IOException("relay " + i + " did not get ready; see its log");
            }
        }
    }

    /** Waits until a relay takes callers. */
    boolean awaitReady(int number, long milliseconds) throws InterruptedException {
        long until = clock.getAsLong() + milliseconds;
        while (!nodes.get(number).process().isReady()) {
            if (clock.getAsLong() > until) {
                return false;
            }
            Thread.sleep(STEP_MILLISECONDS);
        }
        startedAt.get(number).add(clock.getAsLong());
        return true;
    }

    /** Puts a configuration with one more route in the store. */
    synchronized void changeConfiguration() {
        version++;
        StringBuilder routes = new StringBuilder();
        for (int i = 1; i <= version; i++) {
            routes.append(',')
                    .append(ConfigurationJson.route("v" + i, "/v" + i + "/", "idempotent"));
        }
        store.putConfiguration(ConfigurationJson.of(version, routes.toString()));
        acknowledged.put(version, clock.getAsLong());
    }

    /** The newest version that the store holds. */
    synchronized int version() {
        return version;
    }

    /** When the store had each version. */
    Map<Integer, Long> acknowledged() {
        return acknowledged;
    }

    /** When each relay got ready, for each of its processes. */
    Map<Integer, NavigableSet<Long>> startedAt() {
        return startedAt;
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
            node.callers().close();
            node.links().close();
            node.storeLink().close();
            node.upstreamLink().close();
        }
        store.close();
        places.close();
    }
}
