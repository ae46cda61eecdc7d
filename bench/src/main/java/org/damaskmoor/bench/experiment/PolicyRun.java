package org.damaskmoor.bench.experiment;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.bench.experiment.Scenario.FaultKind;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.load.Schedule;
import org.damaskmoor.bench.load.Schedule.Shares;

/**
 * Runs one policy in one scenario, with the same schedule and the same faults for each policy.
 *
 * <p>Confined to one thread.
 */
final class PolicyRun {
    private static final double WARM_UP_SECONDS = 5;
    private static final long SETTLING_MILLISECONDS = 1500;

    private final Scenario scenario;
    private final double seconds;
    private final long seed;

    PolicyRun(Scenario scenario, double seconds, long seed) {
        this.scenario = scenario;
        this.seconds = seconds;
        this.seed = seed;
    }

    PolicyResult run(Policy policy) throws IOException, InterruptedException {
        boolean cold = scenario.fault().kind() == FaultKind.COLD_START;
        try (ExperimentSite site = new ExperimentSite(scenario, seed)) {
            site.start(policy, cold ? scenario.fault().upstreams() : 0);
            Thread.sleep(SETTLING_MILLISECONDS);
            sendLoad(site, "warm", WARM_UP_SECONDS, new ArrayList<>());
            SiteCounters before = site.counters();
            List<CallRecord> records;
            List<CallRecord> inTime = new ArrayList<>();
            try (FaultInjector faults = new FaultInjector(scenario.fault(), site, seed)) {
                faults.start();
                records = sendLoad(site, "load", seconds, inTime);
            }
            return result(policy, records, inTime, site.counters().since(before));
        }
    }

    private PolicyResult result(
            Policy policy,
            List<CallRecord> records,
            List<CallRecord> inTime,
            SiteCounters counters) {
        return new PolicyResult(
                scenario.name(),
                policy,
                new CallStatistics(records),
                new CallStatistics(inTime),
                counters,
                seconds,
                scenario.upstreams(),
                scenario.upstreams() * scenario.slots(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    /** Sends a schedule of calls; adds the calls that end before the schedule does to the list. */
    private List<CallRecord> sendLoad(
            ExperimentSite site, String stage, double durationSeconds, List<CallRecord> inTime)
            throws InterruptedException {
        Schedule schedule =
                new Schedule(
                        ExperimentService.requestKinds(scenario.bookingShare()),
                        new Random(seed + stage.hashCode()),
                        stage + "-" + seed,
                        Shares.ROUTED_ONCE);
        List<PlannedCall> calls = schedule.plan(scenario.requestsPerSecond(), durationSeconds);
        long end = System.nanoTime() + (long) (durationSeconds * TimeUnit.SECONDS.toNanos(1));
        Consumer<CallRecord> listener = call -> addInTime(call, end, inTime);
        return new LoadRun(site.entryUrls(), site.upstreamUrls(), listener).run(calls);
    }

    private static void addInTime(CallRecord call, long endNanoseconds, List<CallRecord> inTime) {
        if (System.nanoTime() <= endNanoseconds) {
            inTime.add(call);
        }
    }
}
