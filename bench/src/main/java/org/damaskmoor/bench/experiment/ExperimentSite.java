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
 * Runs the system under test for one policy within this process: the platform stand-in, the
 * upstream stand-ins and the nodes, connected by emulated links.
 *
 * <p>Confined to one thread.
 */
final class ExperimentSite implements AutoCloseable {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_MILLISECONDS = 50;
    private static final long STOP_SECONDS = 15;
    private static final ColdStart NO_COLD_START = new ColdStart(0, 1);

    private final Scenario scenario;
    private final long seed;
    private final List<ExperimentVm> vms;
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
        this.vms = ExperimentVm.layOut(scenario, platformPort + 1);
    }

    /**
     * Starts the site and waits until all nodes are ready for callers.
     *
     * @param coldUpstreams how many of the last upstreams {@link #startColdUpstreams} starts later
     */
    void start(Policy policy, int coldUpstreams) throws IOException, InterruptedException {
        standIns.add(new EventLoopServer("platform", platformPort, PlatformServlet::new));
        new TableServiceApplier(client, ExperimentVm.url(platformPort))
                .apply(ExperimentService.configuration());
        LinkFile links = new LinkFile(ExperimentVm.linkFile(scenario, vms));
        NodeOptions options = policy.options(this::instrumented);
        for (ExperimentVm vm : vms) {
            LinkTable table = new LinkTable(vm.dataCentre(), links, System::nanoTime);
            NodeProcess node = new NodeProcess(settings(vm), Optional.empty(), table, options);
            nodes.add(node);
            node.start().join();
        }
        for (int i = 0; i < vms.size() - coldUpstreams; i++) {
            startUpstream(vms.get(i), NO_COLD_START);
        }
        awaitReady();
    }

    private InstrumentedRouter instrumented(org.damaskmoor.core.routing.Router router) {
        long delay = TimeUnit.MILLISECONDS.toNanos(scenario.reportDelayMilliseconds());
        return new InstrumentedRouter(router, delay, attempts);
    }

    /** Starts the upstreams that {@link #start} did not start. */
    void startColdUpstreams(ColdStart coldStart) throws IOException {
        for (int i = upstreams.size(); i < vms.size(); i++) {
            startUpstream(vms.get(i), coldStart);
        }
    }

    private void startUpstream(ExperimentVm vm, ColdStart coldStart) throws IOException {
        upstreams.add(
                new ExperimentUpstream(
                        new ExperimentUpstream.Options(
                                ExperimentService.NAME,
                                vm,
                                scenario.slots(),
                                scenario.serviceMilliseconds(),
                                coldStart,
                                seed + vm.basePort() - platformPort)));
        standIns.add(upstreams.get(upstreams.size() - 1));
    }

    private NodeSettings settings(ExperimentVm vm) {
        Map<String, String> flags =
                Map.of(
                        "--node-id", vm.nodeId(),
                        "--region", vm.region(),
                        "--data-centre", vm.dataCentre(),
                        "--http-port", String.valueOf(vm.httpPort()),
                        "--mesh-port", String.valueOf(vm.meshPort()),
                        "--gossip-port", String.valueOf(vm.gossipPort()),
                        "--control-port", String.valueOf(vm.controlPort()),
                        "--operator-port", String.valueOf(vm.operatorPort()),
                        "--table-service-url", ExperimentVm.url(platformPort),
                        "--object-store-url", ExperimentVm.url(platformPort));
        try {
            return SettingsReader.read(NodeSettings.getDefaultInstance(), flags, Map.of());
        } catch (SettingsException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (ExperimentVm vm : vms) {
            while (client.get(vm.controlUrl() + "/ready").status() != 200) {
                if (System.nanoTime() > deadline) {
                    throw new IOException(
                            "node " + vm.nodeId() + " not ready within " + READY_TIMEOUT);
                }
                Thread.sleep(POLL_MILLISECONDS);
            }
        }
    }

    /** Returns the URLs that callers send requests to. */
    List<URI> entryUrls() {
        return vms.stream()
                .filter(vm -> scenario.entryRegions().contains(vm.region()))
                .map(vm -> URI.create(vm.entryUrl()))
                .toList();
    }

    /** Returns the URLs of the upstreams. */
    List<URI> upstreamUrls() {
        return vms.stream().map(vm -> URI.create(vm.upstreamUrl())).toList();
    }

    List<ExperimentUpstream> upstreams() {
        return upstreams;
    }

    /** Returns the counters of all nodes and upstreams since the start. */
    SiteCounters counters() throws IOException {
        long served = 0;
        long heldNanoseconds = 0;
        for (int i = 0; i < upstreams.size(); i++) {
            JsonObject standInCounters = json(vms.get(i).upstreamUrl() + "/stand-in/counters");
            served += (long) standInCounters.number("served", 0);
            heldNanoseconds += (long) standInCounters.number("held_nanoseconds", 0);
        }
        long measuringBytes = 0;
        long paidLinkBytes = 0;
        for (ExperimentVm vm : vms) {
            JsonObject metrics = json(vm.controlUrl() + "/metrics.json");
            measuringBytes += sum(metrics, "damaskmoor_measuring_bytes_total");
            paidLinkBytes += sum(metrics, "damaskmoor_paid_link_measuring_bytes_total");
        }
        return new SiteCounters(
                attempts.sum(), served, heldNanoseconds, measuringBytes, paidLinkBytes);
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
            throw new IOException("could not stop a stand-in", e);
        }
    }
}
