package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.bench.http.BlockingClient;

/**
 * Starts the processes of one deployment on this machine: the platform stand-in, and for each VM
 * (emulated VM) an upstream stand-in and a node that communicates over emulated links.
 *
 * <p>Not thread-safe.
 */
public final class Site {
    private static final String PLATFORM = "platform";
    private static final long POLL_MILLISECONDS = 50;
    private static final int FLUSH_SECONDS = 2;

    private final Deployment deployment;
    private final List<EmulatedVm> vms;
    private final int platformPort;
    private final Path directory;
    private final ChildProcesses children;
    private final BlockingClient client;

    /**
     * @param directory directory for the link file, the ledgers of the upstreams and the logs
     */
    public Site(
            Deployment deployment,
            int basePort,
            Path directory,
            ChildProcesses children,
            BlockingClient client) {
        this.deployment = deployment;
        this.vms = VmLayout.of(deployment, basePort);
        this.platformPort = basePort;
        this.directory = directory;
        this.children = children;
        this.client = client;
    }

    public List<EmulatedVm> vms() {
        return vms;
    }

    public String platformUrl() {
        return EmulatedVm.url(platformPort);
    }

    /** Starts the platform stand-in and all upstreams. */
    public void startStandIns() throws IOException {
        children.start(
                PLATFORM, List.of("platform-stand-in", "--port", String.valueOf(platformPort)));
        for (EmulatedVm vm : vms) {
            startUpstream(vm);
        }
    }

    /** Starts or restarts the upstream of one VM. */
    public void startUpstream(EmulatedVm vm) throws IOException {
        children.start(vm.upstreamName(), upstreamArguments(vm));
    }

    /** Starts or restarts the node of one VM. */
    public void startNode(EmulatedVm vm) throws IOException {
        children.start(vm.nodeId(), nodeArguments(vm, linkFile()));
    }

    /** Returns the link file, which nodes poll for changes. */
    public Path linkFile() {
        return directory.resolve("links.json");
    }

    /** Returns the file in which the VM's upstream records its runs, also across restarts. */
    public Path ledgerFile(EmulatedVm vm) {
        return directory.resolve(vm.upstreamName() + ".ledger");
    }

    /** Starts all nodes. */
    public void startNodes() throws IOException {
        Files.writeString(linkFile(), VmLayout.linkFile(deployment, vms).toString());
        for (EmulatedVm vm : vms) {
            startNode(vm);
        }
    }

    private List<String> upstreamArguments(EmulatedVm vm) {
        Deployment.Service service = vm.service();
        return List.of(
                "upstream-stand-in",
                "--ledger-file=" + ledgerFile(vm),
                "--service=" + service.configuration().getName(),
                "--port=" + vm.upstreamPort(),
                "--control-url=" + vm.controlUrl(),
                "--slots=" + service.slots(),
                "--connections=" + service.connections(),
                "--seed=" + vm.basePort(),
                "--service-milliseconds=" + service.serviceMilliseconds());
    }

    private List<String> nodeArguments(EmulatedVm vm, Path linkFile) {
        return List.of(
                "emulated-node",
                "--link-file=" + linkFile,
                "--node-id=" + vm.nodeId(),
                "--region=" + vm.region(),
                "--data-centre=" + vm.dataCentre(),
                "--http-port=" + vm.httpPort(),
                "--mesh-port=" + vm.meshPort(),
                "--gossip-port=" + vm.gossipPort(),
                "--control-port=" + vm.controlPort(),
                "--operator-port=" + vm.operatorPort(),
                "--table-service-url=" + platformUrl(),
                "--object-store-url=" + platformUrl(),
                "--accounting-flush-seconds=" + FLUSH_SECONDS);
    }

    /** Waits until the platform and all upstreams respond. */
    public void awaitStandIns(long timeoutMilliseconds) throws IOException, InterruptedException {
        List<String> urls = new ArrayList<>();
        urls.add(platformUrl() + "/stand-in/counters");
        vms.forEach(vm -> urls.add(vm.upstreamUrl() + "/stand-in/counters"));
        await(urls, timeoutMilliseconds);
    }

    /** Waits until all nodes are ready for callers. */
    public void awaitNodes(long timeoutMilliseconds) throws IOException, InterruptedException {
        await(vms.stream().map(vm -> vm.controlUrl() + "/ready").toList(), timeoutMilliseconds);
    }

    private void await(List<String> urls, long timeoutMilliseconds)
            throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + timeoutMilliseconds;
        for (String url : urls) {
            while (!isReady(url)) {
                checkNotFailed(url, deadline);
                Thread.sleep(POLL_MILLISECONDS);
            }
        }
    }

    private void checkNotFailed(String url, long deadlineMilliseconds) throws IOException {
        List<String> exited = children.exited();
        if (!exited.isEmpty()) {
            throw new IOException(
                    "processes exited during start: " + exited + "; see the logs in " + directory);
        }
        if (System.currentTimeMillis() > deadlineMilliseconds) {
            throw new IOException(
                    "no status 200 from "
                            + url
                            + " before the timeout; see the logs in "
                            + directory);
        }
    }

    private boolean isReady(String url) {
        try {
            return client.get(url).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
