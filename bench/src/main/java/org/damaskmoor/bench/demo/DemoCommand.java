package org.damaskmoor.bench.demo;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.verification.Totals;

/** Runs a deployment on this machine and checks its guarantees. Confined to one thread. */
@Command(name = "demo", description = "Runs a deployment on this machine and injects faults")
public final class DemoCommand implements Callable<Integer> {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);

    @Option(name = "--deployment", description = "Deployment to run: bern or cotizar")
    @AllowedRawValues(allowedValues = {"bern", "cotizar"})
    private String deployment = "bern";

    @Option(name = "--examples", description = "Directory of the deployment files")
    private String examples = "examples";

    @Option(name = "--base-port", description = "First port; 0 for the first free block")
    private int basePort;

    @Option(name = "--seed", description = "Random seed of the load")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
        Path directory = Files.createTempDirectory("damaskmoor-demo-");
        Progress progress = new Progress(System.out);
        progress.step("deployment " + deployment + ", logs in " + directory);
        try (ChildProcesses children = new ChildProcesses(directory);
                BlockingClient client = new BlockingClient(CONTROL_TIMEOUT)) {
            return report(demo(directory, children, client, progress).run(seed));
        }
    }

    private Demo demo(
            Path directory, ChildProcesses children, BlockingClient client, Progress progress)
            throws IOException {
        Deployment sizes = Deployment.read(Path.of(examples, deployment + ".json"));
        int firstPort = basePort == 0 ? PortBlocks.firstFree(VmLayout.ports(sizes)) : basePort;
        Site site = new Site(sizes, firstPort, directory, children, client);
        return new Demo(
                sizes,
                site,
                children,
                client,
                new OperatorServiceApplier(
                        site.vms().stream().map(EmulatedVm::operatorPort).toList()),
                new StoredRefusals(client),
                new ReportedRefusals(site.platformUrl()),
                new MetricMeasuringBytes(client),
                progress);
    }

    private static int report(Totals totals) {
        totals.violations().forEach(violation -> System.out.println("broken: " + violation));
        if (totals.exitCode() == Totals.NOT_MEASURED) {
            System.out.println(
                    "not measured: refusals_accounted; the run does not count as a success");
        }
        System.out.println(totals.line());
        return totals.exitCode();
    }
}
