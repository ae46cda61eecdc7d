package org.damaskmoor.bench.failure;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.damaskmoor.bench.demo.ChildProcesses;
import org.damaskmoor.bench.demo.Deployment;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.OperatorServiceApplier;
import org.damaskmoor.bench.demo.PortBlocks;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.demo.VmLayout;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.soak.LinkFaults;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.schema.settings.OperatorSettings;

/**
 * A small site of real processes for failure tests: besuch-1 and besuch-2 in region mittelland,
 * besuch-3 in region oberland, and register-1 in mittelland as the entry node.
 *
 * <p>Tests wait for states, with generous timeouts, rather than for fixed times. Confined to one
 * thread, except for {@link #book} and {@link #lookUp}.
 */
final class FailureTestSite implements AutoCloseable {
    private static final long TIMEOUT_MILLISECONDS = 40_000;
    private static final long POLL_MILLISECONDS = 50;
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);

    final ChildProcesses children;
    final Site site;
    final LinkFaults links;
    private final Path directory;
    private final BlockingClient client = new BlockingClient(CONTROL_TIMEOUT);
    private int nonceCount;

    FailureTestSite() throws Exception {
        directory = Files.createTempDirectory("damaskmoor-failure-");
        children = new ChildProcesses(directory);
        Deployment deployment =
                Deployment.read(
                        Path.of(FailureTestSite.class.getResource("/failure-site.json").toURI()));
        int firstPort = PortBlocks.firstFree(VmLayout.ports(deployment));
        site = new Site(deployment, firstPort, directory, children, client);
        site.startStandIns();
        site.awaitStandIns(TIMEOUT_MILLISECONDS);
        site.startNodes();
        site.awaitNodes(TIMEOUT_MILLISECONDS);
        links = new LinkFaults(site.linkFile());
        var applier =
                new OperatorServiceApplier(
                        site.vms().stream().map(EmulatedVm::operatorPort).toList());
        for (Deployment.Service service : deployment.services()) {
            applier.apply(service.configuration());
        }
        for (EmulatedVm vm : besuchPlaces()) {
            awaitServing(vm);
        }
    }

    EmulatedVm vm(String nodeId) {
        return site.vms().stream()
                .filter(vm -> vm.nodeId().equals(nodeId))
                .findFirst()
                .orElseThrow();
    }

    List<EmulatedVm> besuchPlaces() {
        return List.of(vm("besuch-1"), vm("besuch-2"), vm("besuch-3"));
    }

    /** Waits until the entry node of the region gets bookings run at this VM. */
    void awaitServing(EmulatedVm vm) throws Exception {
        EmulatedVm entry = vm(vm.region().equals("mittelland") ? "register-1" : "besuch-3");
        await(
                vm.nodeId() + " serves",
                () -> {
                    String nonce = nonceFor(vm);
                    return book(entry, nonce).outcome() == Outcome.ANSWERED
                            && runsAt(vm, nonce) == 1;
                });
    }

    /**
     * Returns a new nonce. For a VM in mittelland, rendezvous hashing of its idempotency key
     * prefers that VM among the two targets there; for any other VM, the key is arbitrary.
     */
    String nonceFor(EmulatedVm preferred) {
        while (true) {
            String nonce = "n" + ++nonceCount;
            long key = StableHash.of("key-" + nonce);
            Comparator<EmulatedVm> byRank =
                    (a, b) ->
                            Long.compareUnsigned(
                                    StableHash.combine(key, StableHash.of(a.nodeId())),
                                    StableHash.combine(key, StableHash.of(b.nodeId())));
            EmulatedVm first = Stream.of(vm("besuch-1"), vm("besuch-2")).max(byRank).orElseThrow();
            if (!preferred.region().equals("mittelland") || first.equals(preferred)) {
                return nonce;
            }
        }
    }

    CallRecord book(EmulatedVm entry, String nonce) {
        return send(
                entry, new PlannedCall(0, "staff", true, "/bookings/1", nonce, false, false, 0));
    }

    CallRecord lookUp(EmulatedVm entry) {
        String nonce = "look-up-" + System.nanoTime();
        return send(entry, new PlannedCall(0, "staff", false, "/visits/1", nonce, false, false, 0));
    }

    private CallRecord send(EmulatedVm entry, PlannedCall call) {
        try {
            return new LoadRun(List.of(URI.create(entry.entryUrl())), List.of(), sent -> {})
                    .run(List.of(call))
                    .get(0);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns how often the booking ran, according to the ledgers of all upstreams. */
    int totalRuns(String nonce) throws IOException {
        int runs = 0;
        for (EmulatedVm vm : site.vms()) {
            runs += runsAt(vm, nonce);
        }
        return runs;
    }

    int runsAt(EmulatedVm vm, String nonce) throws IOException {
        Path ledger = site.ledgerFile(vm);
        if (!Files.exists(ledger)) {
            return 0;
        }
        return (int)
                Files.readAllLines(ledger).stream()
                        .map(JsonObject::parse)
                        .filter(line -> line.text("key", "").equals("key-" + nonce))
                        .count();
    }

    void setUpstreamFaults(EmulatedVm vm, JsonObject faults) throws IOException {
        client.post(vm.upstreamUrl() + "/stand-in/faults", faults.toString());
    }

    void setPlatformMode(String mode) throws IOException {
        client.post(
                site.platformUrl() + "/stand-in/faults",
                new JsonObject().with("mode", mode).toString());
    }

    void killNode(EmulatedVm vm) throws InterruptedException {
        children.kill(vm.nodeId());
        children.awaitEnd(vm.nodeId());
    }

    void awaitReady(EmulatedVm vm) throws Exception {
        await(
                vm.nodeId() + " is ready",
                () -> client.get(vm.controlUrl() + "/ready").status() == 200);
    }

    /** Returns the number of lines in the node's log that contain the text. */
    long countLogLines(EmulatedVm vm, String text) throws IOException {
        try (Stream<String> lines = Files.lines(directory.resolve(vm.nodeId() + ".log"))) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    OperatorClient operator(EmulatedVm vm) throws Exception {
        return OperatorClient.open(
                OperatorSettings.newBuilder()
                        .setNode("127.0.0.1:" + vm.operatorPort())
                        .setTimeoutMilliseconds((int) TIMEOUT_MILLISECONDS)
                        .setChangedBy("test")
                        .build());
    }

    long versionAt(EmulatedVm vm, String service) throws Exception {
        try (OperatorClient operator = operator(vm)) {
            return operator.versionInForce(service);
        }
    }

    void awaitVersion(String service, long version) throws Exception {
        for (EmulatedVm vm : site.vms()) {
            await(vm.nodeId() + " has version " + version, () -> versionAt(vm, service) == version);
        }
    }

    static void await(String state, Callable<Boolean> condition) throws Exception {
        long end = System.currentTimeMillis() + TIMEOUT_MILLISECONDS;
        while (!isMet(condition)) {
            if (System.currentTimeMillis() > end) {
                throw new AssertionError("timed out waiting until: " + state);
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
    }

    private static boolean isMet(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException unavailable) {
            return false;
        }
    }

    @Override
    public void close() {
        children.close();
        client.close();
    }
}
