package org.damaskmoor.bench.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.damaskmoor.bench.experiment.Scenario.Fault;
import org.damaskmoor.bench.experiment.Scenario.FaultKind;
import org.damaskmoor.bench.experiment.Scenario.Site;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.Schedule;
import org.damaskmoor.bench.load.Schedule.Shares;
import org.damaskmoor.bench.verification.Latencies;

/**
 * Measures the latency that an entry node and a target node add to a call. Half of the calls go
 * directly to the upstream and half through both nodes, mixed at random in one schedule.
 *
 * <p>Confined to one thread. Exit code 0 when the added 99th percentile is within the bound, 1
 * otherwise.
 */
@Command(name = "added-latency", description = "Measures the latency that two nodes add to a call")
public final class AddedLatencyCommand implements Callable<Integer> {
    private static final Logger NODE_LOGGER = Logger.getLogger("org.damaskmoor");
    private static final double MAX_ADDED_MILLISECONDS = 0.3;
    private static final double DIRECT_SHARE = 0.5;
    private static final double WARM_UP_SECONDS = 8;
    private static final long SETTLING_MILLISECONDS = 1500;
    private static final int SLOTS = 100;
    private static final Scenario SCENARIO =
            new Scenario(
                    "added-latency",
                    1,
                    List.of(new Site("bern-nord", "mittelland", 2)),
                    SLOTS,
                    0,
                    0,
                    List.of("mittelland"),
                    new JsonObject(),
                    new Fault(FaultKind.NONE, 0, 1, 0, 0),
                    0,
                    List.of());

    @Option(name = "--rate", description = "Calls per second, direct and routed together")
    private double rate = 500;

    @Option(name = "--seconds", description = "Duration of the measured load")
    private double seconds = 10;

    @Option(name = "--seed", description = "Random seed of the load")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
        NODE_LOGGER.setLevel(Level.SEVERE);
        try (ExperimentSite site = new ExperimentSite(SCENARIO, seed)) {
            site.start(Policy.PRODUCT, 1);
            Thread.sleep(SETTLING_MILLISECONDS);
            load(site, "warm", WARM_UP_SECONDS);
            return report(load(site, "load", seconds));
        }
    }

    private List<CallRecord> load(ExperimentSite site, String stage, double durationSeconds)
            throws IOException, InterruptedException {
        Schedule schedule =
                new Schedule(
                        ExperimentService.requestKinds(0),
                        new Random(seed + stage.hashCode()),
                        stage + "-" + seed,
                        new Shares(0, DIRECT_SHARE));
        List<URI> entries = site.entryUrls();
        URI entryWithoutUpstream = entries.get(entries.size() - 1);
        URI upstream = site.upstreamUrls().get(0);
        return new LoadRun(List.of(entryWithoutUpstream), List.of(upstream), call -> {})
                .run(schedule.plan(rate, durationSeconds));
    }

    private int report(List<CallRecord> records) {
        Latencies direct = new Latencies(records, CallRecord::direct);
        Latencies routed = new Latencies(records, call -> !call.direct());
        CallStatistics statistics = new CallStatistics(records);
        double added = routed.milliseconds(99) - direct.milliseconds(99);
        System.out.printf(
                Locale.ROOT,
                "calls=%d answered=%d rate=%.0f direct_p50_ms=%.3f direct_p99_ms=%.3f"
                        + " routed_p50_ms=%.3f routed_p99_ms=%.3f added_p50_ms=%.3f"
                        + " added_p99_ms=%.3f at_most=%.3f verdict=%s load_average=%.1f%n",
                statistics.sent(),
                statistics.answered(),
                rate,
                direct.milliseconds(50),
                direct.milliseconds(99),
                routed.milliseconds(50),
                routed.milliseconds(99),
                routed.milliseconds(50) - direct.milliseconds(50),
                added,
                MAX_ADDED_MILLISECONDS,
                added <= MAX_ADDED_MILLISECONDS ? "met" : "missed",
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
        return added <= MAX_ADDED_MILLISECONDS ? 0 : 1;
    }
}
