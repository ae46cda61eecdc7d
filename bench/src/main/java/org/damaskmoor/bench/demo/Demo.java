package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Supplier;
import org.damaskmoor.bench.demo.Deployment.Service;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.load.Schedule;
import org.damaskmoor.bench.load.Schedule.Shares;
import org.damaskmoor.bench.verification.InvariantChecker;
import org.damaskmoor.bench.verification.RefusalComparison;
import org.damaskmoor.bench.verification.Totals;
import org.damaskmoor.bench.verification.UpstreamRuns;
import org.damaskmoor.bench.verification.Violation;
import org.damaskmoor.core.accounting.RefusalSummary;

/**
 * Runs the demo: starts a deployment, sends load while faults are injected, and compares the
 * records of callers, upstreams and nodes.
 *
 * <p>Single use, confined to one thread.
 */
final class Demo {
    private static final long START_TIMEOUT_MILLISECONDS = 20_000;
    private static final long FLUSH_TIMEOUT_MILLISECONDS = 8_000;
    private static final long POLL_MILLISECONDS = 200;
    private static final double WARM_UP_SECONDS = 4;
    private static final double LOAD_SECONDS = 15;

    private final Deployment deployment;
    private final Site site;
    private final ChildProcesses children;
    private final BlockingClient client;
    private final ServiceApplier applier;
    private final AccountedRefusals accountedRefusals;
    private final Supplier<RefusalSummary> reportedRefusals;
    private final MeasuringBytes measuringBytes;
    private final Progress progress;

    Demo(
            Deployment deployment,
            Site site,
            ChildProcesses children,
            BlockingClient client,
            ServiceApplier applier,
            AccountedRefusals accountedRefusals,
            Supplier<RefusalSummary> reportedRefusals,
            MeasuringBytes measuringBytes,
            Progress progress) {
        this.deployment = deployment;
        this.site = site;
        this.children = children;
        this.client = client;
        this.applier = applier;
        this.accountedRefusals = accountedRefusals;
        this.reportedRefusals = reportedRefusals;
        this.measuringBytes = measuringBytes;
        this.progress = progress;
    }

    /** Runs the demo and returns its results. */
    Totals run(long seed) throws IOException, InterruptedException {
        start();
        Random random = new Random(seed);
        Schedule schedule =
                new Schedule(deployment.requests(), random, "warm-" + seed, Shares.DEMO);
        double rate = deployment.requestsPerSecond();
        List<CallRecord> warmUp = load(schedule.plan(rate, WARM_UP_SECONDS));
        progress.step("warmed up");
        Schedule measured =
                new Schedule(deployment.requests(), random, "load-" + seed, Shares.DEMO);
        List<CallRecord> records;
        try (DemoFaultInjector faults =
                new DemoFaultInjector(site.vms(), children, client, progress)) {
            faults.start();
            records = load(measured.plan(rate, LOAD_SECONDS));
        }
        progress.step("load finished, collecting ledgers");
        return totals(warmUp, records);
    }

    private void start() throws IOException, InterruptedException {
        site.startStandIns();
        site.awaitStandIns(START_TIMEOUT_MILLISECONDS);
        progress.step("stand-ins running: platform and " + site.vms().size() + " upstreams");
        site.startNodes();
        site.awaitNodes(START_TIMEOUT_MILLISECONDS);
        progress.step("nodes ready: " + site.vms().size());
        for (Service service : deployment.services()) {
            applier.apply(service.configuration());
        }
        progress.step("services in force on all nodes: " + deployment.services().size());
    }

    private List<CallRecord> load(List<PlannedCall> schedule) throws InterruptedException {
        List<URI> entries = urls(site.vms().stream().map(EmulatedVm::entryUrl).toList());
        List<URI> upstreams = urls(site.vms().stream().map(EmulatedVm::upstreamUrl).toList());
        return new LoadRun(entries, upstreams, progress::count).run(schedule);
    }

    private static List<URI> urls(List<String> texts) {
        return texts.stream().map(URI::create).toList();
    }

    private Totals totals(List<CallRecord> warmUp, List<CallRecord> measured)
            throws IOException, InterruptedException {
        List<CallRecord> all = new ArrayList<>(warmUp);
        all.addAll(measured);
        OptionalLong accounted = awaitAccounted(Totals.refused(all));
        List<String> controlUrls =
                site.vms().stream()
                        .filter(vm -> children.alive(vm.nodeId()))
                        .map(EmulatedVm::controlUrl)
                        .toList();
        List<Violation> violations = new ArrayList<>(new InvariantChecker(runs()).check(all));
        violations.addAll(new RefusalComparison(all).check(reportedRefusals.get()));
        return new Totals(warmUp, measured, violations, accounted, measuringBytes.sum(controlUrls));
    }

    /** Waits, with a timeout, until nodes have flushed all refusals to the object store. */
    private OptionalLong awaitAccounted(long refused) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + FLUSH_TIMEOUT_MILLISECONDS;
        OptionalLong accounted = accountedRefusals.count(site.platformUrl());
        while (accounted.orElse(refused) != refused && System.currentTimeMillis() < end) {
            Thread.sleep(POLL_MILLISECONDS);
            accounted = accountedRefusals.count(site.platformUrl());
        }
        return accounted;
    }

    private List<UpstreamRuns> runs() throws IOException {
        List<UpstreamRuns> runs = new ArrayList<>();
        for (EmulatedVm vm : site.vms()) {
            String ledger = client.get(vm.upstreamUrl() + "/stand-in/ledger").body().toStringUtf8();
            runs.addAll(UpstreamRuns.parse(ledger));
        }
        return runs;
    }
}
