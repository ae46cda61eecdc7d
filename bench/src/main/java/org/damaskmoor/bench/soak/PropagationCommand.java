package org.damaskmoor.bench.soak;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.demo.ChildProcesses;
import org.damaskmoor.bench.demo.Deployment;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.OperatorServiceApplier;
import org.damaskmoor.bench.demo.PortBlocks;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.demo.VmLayout;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.schema.settings.OperatorSettings;

/**
 * Measures how fast an accepted configuration reaches every node, with the platform up and with the
 * platform down right after the acceptance, and how fast a draining upstream stops receiving
 * requests.
 *
 * <p>Used by one thread.
 */
@Command(name = "spread", description = "Measures propagation of changes to every node")
public final class PropagationCommand implements Callable<Integer> {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
    private static final int CALL_TIMEOUT_MILLISECONDS = 10_000;
    private static final long START_TIMEOUT_MILLISECONDS = 60_000;

    @Option(name = "--deployment", description = "Deployment: bern or cotizar")
    @AllowedRawValues(allowedValues = {"bern", "cotizar"})
    private String deployment = "bern";

    @Option(name = "--examples", description = "Directory of the deployment files")
    private String examples = "examples";

    @Option(name = "--rounds", description = "Number of measurements of each kind")
    private int rounds = 10;

    @Option(name = "--seed", description = "Seed of the load")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
        Path directory = Files.createTempDirectory("damaskmoor-spread-");
        Deployment sizes = Deployment.read(Path.of(examples, deployment + ".json"));
        int firstPort = PortBlocks.firstFree(VmLayout.ports(sizes));
        try (ChildProcesses children = new ChildProcesses(directory);
                BlockingClient client = new BlockingClient(CONTROL_TIMEOUT)) {
            Site site = new Site(sizes, firstPort, directory, children, client);
            start(sizes, site);
            List<OperatorClient> operators = new ArrayList<>();
            for (EmulatedVm vm : site.vms()) {
                operators.add(open(vm));
            }
            measure(site, sizes, new PropagationBenchmark(sizes, site, client, operators));
            operators.forEach(OperatorClient::close);
        }
        return 0;
    }

    private static void start(Deployment sizes, Site site) throws Exception {
        site.startStandIns();
        site.awaitStandIns(START_TIMEOUT_MILLISECONDS);
        site.startNodes();
        site.awaitNodes(START_TIMEOUT_MILLISECONDS);
        OperatorServiceApplier applier =
                new OperatorServiceApplier(
                        site.vms().stream().map(EmulatedVm::operatorPort).toList());
        for (Deployment.Service service : sizes.services()) {
            applier.apply(service.configuration());
        }
    }

    private void measure(Site site, Deployment sizes, PropagationBenchmark benchmark)
            throws Exception {
        String service = sizes.services().get(0).configuration().getName();
        for (int round = 0; round < rounds; round++) {
            print(round, "store_up", benchmark.configurationSeconds(service, 2 * round, false));
            print(
                    round,
                    "store_down",
                    benchmark.configurationSeconds(service, 2 * round + 1, true));
        }
        for (int round = 0; round < Math.min(rounds, site.vms().size()); round++) {
            print(round, "drain", benchmark.drainSeconds(site.vms().get(round), seed + round));
        }
    }

    private static void print(int round, String what, double seconds) {
        System.out.printf(Locale.ROOT, "round=%d what=%s seconds=%.3f%n", round, what, seconds);
    }

    private static OperatorClient open(EmulatedVm vm) throws Exception {
        return OperatorClient.open(
                OperatorSettings.newBuilder()
                        .setNode("127.0.0.1:" + vm.operatorPort())
                        .setTimeoutMilliseconds(CALL_TIMEOUT_MILLISECONDS)
                        .setChangedBy("bench")
                        .build());
    }
}
