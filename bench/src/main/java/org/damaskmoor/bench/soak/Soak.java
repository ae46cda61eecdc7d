package org.damaskmoor.bench.soak;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;
import org.damaskmoor.bench.demo.AccountedRefusals;
import org.damaskmoor.bench.demo.ChildProcesses;
import org.damaskmoor.bench.demo.Deployment;
import org.damaskmoor.bench.demo.Deployment.Service;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.Progress;
import org.damaskmoor.bench.demo.ServiceApplier;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.verification.InvariantChecker;
import org.damaskmoor.bench.verification.Totals;
import org.damaskmoor.bench.verification.UpstreamRuns;
import org.damaskmoor.bench.verification.Violation;

/**
 * One soak run: sends bookings and lookups while a schedule of faults is injected, then compares
 * all ledgers.
 *
 * <p>Used by one thread, once.
 */
final class Soak {
    /** The result of a run. Immutable. */
    record Result(Totals totals, List<String> broken, Map<FaultKind, Integer> faults) {}

    private static final long START_TIMEOUT_MILLISECONDS = 60_000;
    private static final long SETTLE_MILLISECONDS = 5_000;

    private final Deployment deployment;
    private final Site site;
    private final ChildProcesses children;
    private final BlockingClient client;
    private final ServiceApplier applier;
    private final AccountedRefusals accountedRefusals;
    private final Progress progress;

    Soak(
            Deployment deployment,
            Site site,
            ChildProcesses children,
            BlockingClient client,
            ServiceApplier applier,
            AccountedRefusals accountedRefusals,
            Progress progress) {
        this.deployment = deployment;
        this.site = site;
        this.children = children;
        this.client = client;
        this.applier = applier;
        this.accountedRefusals = accountedRefusals;
        this.progress = progress;
    }

    /** Runs the soak with the given bookings, duration and fault rate. */
    Result run(long seed, int bookings, double seconds, double faultsPerMinute)
            throws IOException, InterruptedException {
        start();
        List<PlannedCall> calls =
                new BookingLoad(deployment.requests(), new Random(seed), "soak-" + seed)
                        .plan(bookings, seconds);
        List<PlannedFault> schedule =
                new FaultSchedule(new Random(~seed)).plan(faultsPerMinute, seconds);
        SiteFaults faults = new SiteFaults(site, children, client, new LinkFaults(site.linkFile()));
        try (FaultRunner runner = new FaultRunner(faults, progress::step)) {
            runner.start(schedule);
            List<CallRecord> sends = load(calls);
            Map<FaultKind, Integer> counts = runner.heal();
            progress.step("load ended, faults healed, waiting 5 s for requests still running");
            Thread.sleep(SETTLE_MILLISECONDS);
            return result(sends, counts);
        }
    }

    private void start() throws IOException, InterruptedException {
        site.startStandIns();
        site.awaitStandIns(START_TIMEOUT_MILLISECONDS);
        site.startNodes();
        site.awaitNodes(START_TIMEOUT_MILLISECONDS);
        for (Service service : deployment.services()) {
            applier.apply(service.configuration());
        }
        progress.step("nodes are ready: " + site.vms().size());
    }

    private List<CallRecord> load(List<PlannedCall> calls) throws InterruptedException {
        return new LoadRun(
                        urls(EmulatedVm::entryUrl), urls(EmulatedVm::upstreamUrl), progress::count)
                .run(calls);
    }

    private List<URI> urls(Function<EmulatedVm, String> url) {
        return site.vms().stream().map(url).map(URI::create).toList();
    }

    private Result result(List<CallRecord> sends, Map<FaultKind, Integer> faults)
            throws IOException {
        List<ViolationReport.Run> runs = runs();
        List<UpstreamRuns> ledgers =
                runs.stream()
                        .map(run -> new UpstreamRuns(run.key(), List.of(run.attempt())))
                        .toList();
        List<Violation> violations = new InvariantChecker(ledgers).check(sends);
        Totals totals =
                new Totals(
                        List.of(),
                        sends,
                        violations,
                        accountedRefusals.count(site.platformUrl()),
                        OptionalLong.empty());
        ViolationReport report = new ViolationReport(runs, sends);
        return new Result(totals, violations.stream().map(report::of).toList(), faults);
    }

    private List<ViolationReport.Run> runs() throws IOException {
        List<ViolationReport.Run> runs = new ArrayList<>();
        for (EmulatedVm vm : site.vms()) {
            Path ledger = site.ledgerFile(vm);
            if (Files.exists(ledger)) {
                Files.readAllLines(ledger)
                        .forEach(line -> runs.add(ViolationReport.Run.parse(vm.nodeId(), line)));
            }
        }
        return runs;
    }
}
