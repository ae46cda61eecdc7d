package org.damaskmoor.bench.soak;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.demo.ChildProcesses;
import org.damaskmoor.bench.demo.Deployment;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.OperatorServiceApplier;
import org.damaskmoor.bench.demo.PortBlocks;
import org.damaskmoor.bench.demo.Progress;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.demo.StoredRefusals;
import org.damaskmoor.bench.demo.VmLayout;
import org.damaskmoor.bench.http.BlockingClient;

/**
 * Sends bookings under random kills, freezes, cuts and outages and checks the guarantees.
 *
 * <pre>{@code
 * damaskmoor-bench soak --bookings 100000 --seed 7 --minutes 10
 * }</pre>
 *
 * <p>Exit codes: 0 when all guarantees held, 1 when one was violated. Used by one thread.
 */
@Command(name = "soak", description = "Bookings under a seeded schedule of faults")
public final class SoakCommand implements Callable<Integer> {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
    private static final double BOOKINGS_PER_SECOND = 150;
    private static final long PRINT_SECONDS = 10;

    @Option(name = "--bookings", description = "Number of bookings, not counting resends")
    private int bookings = 2_000;

    @Option(name = "--seed", description = "Seed of load and faults")
    private long seed = 1;

    @Option(name = "--minutes", description = "Duration of the load; 0 for 150 bookings per second")
    private double minutes;

    @Option(name = "--faults-per-minute", description = "Number of faults per minute")
    private double faultsPerMinute = 20;

    @Option(name = "--deployment", description = "Deployment: bern or cotizar")
    @AllowedRawValues(allowedValues = {"bern", "cotizar"})
    private String deployment = "bern";

    @Option(name = "--examples", description = "Directory of the deployment files")
    private String examples = "examples";

    @Option(name = "--base-port", description = "First port; 0 for the first free block")
    private int basePort;

    @Override
    public Integer call() throws Exception {
        Path directory = Files.createTempDirectory("damaskmoor-soak-");
        Progress progress = new Progress(System.out, PRINT_SECONDS);
        progress.step("deployment " + deployment + ", logs in " + directory);
        double seconds =
                minutes > 0
                        ? minutes * TimeUnit.MINUTES.toSeconds(1)
                        : bookings / BOOKINGS_PER_SECOND;
        try (ChildProcesses children = new ChildProcesses(directory);
                BlockingClient client = new BlockingClient(CONTROL_TIMEOUT)) {
            return report(
                    soak(directory, children, client, progress)
                            .run(seed, bookings, seconds, faultsPerMinute));
        }
    }

    private Soak soak(
            Path directory, ChildProcesses children, BlockingClient client, Progress progress)
            throws IOException {
        Deployment sizes = Deployment.read(Path.of(examples, deployment + ".json"));
        int firstPort = basePort == 0 ? PortBlocks.firstFree(VmLayout.ports(sizes)) : basePort;
        Site site = new Site(sizes, firstPort, directory, children, client);
        return new Soak(
                sizes,
                site,
                children,
                client,
                new OperatorServiceApplier(
                        site.vms().stream().map(EmulatedVm::operatorPort).toList()),
                new StoredRefusals(client),
                progress);
    }

    private static int report(Soak.Result result) {
        result.broken().forEach(System.out::println);
        System.out.println("faults=" + result.faults());
        System.out.println(result.totals().line());
        return result.broken().isEmpty() ? 0 : 1;
    }
}
