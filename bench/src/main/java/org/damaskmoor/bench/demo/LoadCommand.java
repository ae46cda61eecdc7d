package org.damaskmoor.bench.demo;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.load.Schedule;
import org.damaskmoor.bench.load.Schedule.Shares;
import org.damaskmoor.bench.verification.InvariantChecker;
import org.damaskmoor.bench.verification.Totals;
import org.damaskmoor.bench.verification.UpstreamRuns;

/**
 * Sends a deployment's load to running entry nodes and checks the ledgers of the upstreams.
 * Confined to one thread.
 *
 * <p>With upstream stand-ins as entries it measures the overhead of the load generator.
 */
@Command(name = "load", description = "Sends open-loop load to running entry nodes")
public final class LoadCommand implements Callable<Integer> {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);

    @Option(
            name = "--deployment-file",
            description = "Deployment file that lists the kinds of requests")
    private String deploymentFile = "examples/bern.json";

    @Option(name = "--entry", description = "URL of an entry node; may be repeated")
    @Required
    private List<String> entries = new ArrayList<>();

    @Option(name = "--upstream", description = "URL of an upstream stand-in; may be repeated")
    @Required
    private List<String> upstreams = new ArrayList<>();

    @Option(name = "--rate", description = "Requests per second")
    private double rate = 100;

    @Option(name = "--seconds", description = "Duration of the load")
    private double seconds = 10;

    @Option(name = "--seed", description = "Random seed of the load")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
        Schedule schedule =
                new Schedule(
                        Deployment.read(Path.of(deploymentFile)).requests(),
                        new Random(seed),
                        "load-" + seed + "-" + System.currentTimeMillis(),
                        Shares.DEMO);
        List<PlannedCall> calls = schedule.plan(rate, seconds);
        List<CallRecord> records =
                new LoadRun(urls(entries), urls(upstreams), call -> {}).run(calls);
        Totals totals =
                new Totals(
                        List.of(),
                        records,
                        new InvariantChecker(runs()).check(records),
                        OptionalLong.empty(),
                        OptionalLong.empty());
        totals.violations().forEach(violation -> System.out.println("broken: " + violation));
        System.out.println(totals.line());
        return totals.exitCode();
    }

    private static List<URI> urls(List<String> texts) {
        return texts.stream().map(URI::create).toList();
    }

    private List<UpstreamRuns> runs() throws IOException {
        List<UpstreamRuns> runs = new ArrayList<>();
        try (BlockingClient client = new BlockingClient(CONTROL_TIMEOUT)) {
            for (String upstream : upstreams) {
                String ledger = client.get(upstream + "/stand-in/ledger").body().toStringUtf8();
                runs.addAll(UpstreamRuns.parse(ledger));
            }
        }
        return runs;
    }
}
