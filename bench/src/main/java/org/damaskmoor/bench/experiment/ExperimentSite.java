package org.damaskmoor.bench.experiment;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.damaskmoor.bench.demo.PortBlocks;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.link.LinkFile;
import org.damaskmoor.bench.link.LinkTable;
import org.damaskmoor.bench.platform.PlatformServlet;
import org.damaskmoor.bench.upstream.ServiceTimes.ColdStart;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.core.settings.SettingsReader;
import org.damaskmoor.node.NodeOptions;
import org.damaskmoor.node.NodeProcess;
import org.damaskmoor.schema.settings.NodeSettings;

/**
 * Everything that one policy is measured with, in this process: the platform stand-in, the upstream
 * stand-ins and the nodes, behind emulated links.
 *
 * <p>Used by one thread.
 */
final class ExperimentSite implements AutoCloseable {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_MILLISECONDS = 50;
    private static final long STOP_SECONDS = 15;
    private static final ColdStart NO_COLD_START = new ColdStart(0, 1);

    private final Scenario scenario;
    private final long seed;
    private final List<ExperimentVm> places;
    private final int platformPort;
    private final BlockingClient client = new BlockingClient(CONTROL_TIMEOUT);
    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final List<ExperimentUpstream> upstreams = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final LongAdder attempts = new LongAdder();

    ExperimentSite(Scenario scenario, long seed) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.platformPort = PortBlocks.firstFree(1 + scenario.upstreams() * ExperimentVm.PORTS);
        this.places = ExperimentVm.layOut(scenario, platformPort + 1);
    }

    /** Starts everything and waits until all nodes take callers. */
    void start(Policy policy, int coldUpstreams) throws IOException, InterruptedException {
        standIns.add(new EventLoopServer("platform", platformPort, PlatformServlet::new));
        new TableServiceApplier(client, ExperimentVm.url(platformPort))
                .apply(ExperimentService.configuration());
        LinkFile links = new LinkFile(ExperimentVm.linkFile(scenario, places));
        NodeOptions options = policy.options(this::observed);
        for (ExperimentVm place : places) {
            LinkTable table = new LinkTable(place.dataCentre(), links, System::nanoTime);
            NodeProcess node = new NodeProcess(settings(place), Optional.empty(), table, options);
            nodes.add(node);
            node.start().join();
        }
        for (int i = 0; i < places.size() - coldUpstreams; i++) {
            startUpstream(places.get(i), NO_COLD_START);
        }
        awaitReady();
    }

    private InstrumentedRouter observed(org.damaskmoor.core.routing.Router router) {
        long delay = TimeUnit.MILLISECONDS.toNanos(scenario.reportDelayMilliseconds());
        return new InstrumentedRouter(router, delay, attempts);
    }

    /** Starts the upstreams that were left out. */
    void startColdUpstreams(ColdStart coldStart) throws IOException {
        for (int i = upstreams.size(); i < places.size(); i++) {
            startUpstream(places.get(i), coldStart);
        }
    }

    private void startUpstream(ExperimentVm place, ColdStart coldStart) throws IOException {
        upstreams.add(
                new ExperimentUpstream(
                        new ExperimentUpstream.Start(
                                ExperimentService.NAME,
                                place,
                                scenario.slots(),
                                scenario.serviceMilliseconds(),
                                coldStart,
                                seed + place.basePort() - platformPort)));
        standIns.add(upstreams.get(upstreams.size() - 1));
    }

    private NodeSettings settings(ExperimentVm place) {
        Map<String, String> flags =
                Map.of(
                        "--node-id", place.nodeId(),
                        "--region", place.region(),
                        "--data-centre", place.dataCentre(),
                        "--http-port", String.valueOf(place.httpPort()),
                        "--mesh-port", String.valueOf(place.meshPort()),
                        "--gossip-port", String.valueOf(place.gossipPort()),
                        "--control-port", String.valueOf(place.controlPort()),
                        "--operator-port", String.valueOf(place.operatorPort()),
                        "--table-service-url", ExperimentVm.url(platformPort),
                        "--object-store-url", ExperimentVm.url(platformPort));
        try {
            return SettingsReader.read(NodeSettings.getDefaultInstance(), flags, Map.of());
        } catch (SettingsException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (ExperimentVm place : places) {
            while (client.get(place.controlUrl() + "/ready").status() != 200) {
                if (System.nanoTime() > end) {
                    throw new IOException("not ready in time: " + place.nodeId());
                }
                Thread.sleep(POLL_MILLISECONDS);
            }
        }
    }

    /** Returns where callers send. */
    List<URI> entryUrls() {
        return places.stream()
                .filter(place -> scenario.entryRegions().contains(place.region()))
                .map(place -> URI.create(place.entryUrl()))
                .toList();
    }

    /** Returns the addresses of the upstreams. */
    List<URI> upstreamUrls() {
        return places.stream().map(place -> URI.create(place.upstreamUrl())).toList();
    }

    List<ExperimentUpstream> upstreams() {
        return upstreams;
    }

    /** Returns what was counted since the start. */
    SiteCounters counters() throws IOException {
        long served = 0;
        long held = 0;
        for (int i = 0; i < upstreams.size(); i++) {
            JsonObject counts = json(places.get(i).upstreamUrl() + "/stand-in/counters");
            served += (long) counts.number("served", 0);
            held += (long) counts.number("held_nanoseconds", 0);
        }
        long measuring = 0;
        long paid = 0;
        for (ExperimentVm place : places) {
            JsonObject metrics = json(place.controlUrl() + "/metrics.json");
            measuring += sum(metrics, "damaskmoor_measuring_bytes_total");
            paid += sum(metrics, "damaskmoor_paid_link_measuring_bytes_total");
        }
        return new SiteCounters(attempts.sum(), served, held, measuring, paid);
    }

    private JsonObject json(String url) throws IOException {
        return JsonObject.parse(client.get(url).body().toStringUtf8());
    }

    private static long sum(JsonObject metrics, String prefix) {
        return metrics.names().stream()
                .filter(name -> name.startsWith(prefix))
                .mapToLong(name -> (long) metrics.number(name, 0))
                .sum();
    }

    @Override
    public void close() throws IOException {
        CompletableFuture<?>[] stops =
                nodes.stream().map(NodeProcess::stop).toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(stops).orTimeout(STOP_SECONDS, TimeUnit.SECONDS).join();
        client.close();
        for (AutoCloseable standIn : standIns) {
            close(standIn);
        }
    }

    private static void close(AutoCloseable standIn) throws IOException {
        try {
            standIn.close();
        } catch (Exception e) {
            throw new IOException("could not close a stand-in", e);
        }
    }
}
