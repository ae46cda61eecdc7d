package org.damaskmoor.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.damaskmoor.soak.fault.FaultKind;
import org.damaskmoor.soak.fault.FaultPlanner;
import org.damaskmoor.soak.fault.PlannedFault;
import org.damaskmoor.soak.verification.DisturbanceLog;
import org.damaskmoor.soak.verification.Exchange;
import org.damaskmoor.soak.verification.GuaranteeChecker;
import org.damaskmoor.soak.verification.NoticeChecker;
import org.damaskmoor.soak.verification.PlacementChecker;
import org.damaskmoor.soak.verification.RunLedger;
import org.damaskmoor.soak.verification.TenantChecker;
import org.damaskmoor.soak.verification.TenantRequest;

/**
 * Runs one seed: puts a site under load, injects faults, waits for recovery and checks the
 * guarantees.
 *
 * <p>Confined to one thread. Invariant: the same seed gives the same fault plan.
 */
final class SoakRun {
    private static final int CALLERS_PER_RELAY = 6;
    private static final long MEAN_CONFIGURATION_INTERVAL_MILLISECONDS = 1500;

    /** Limit for every relay to serve requests again after the last fault. */
    private static final long RECOVERY_TIMEOUT_MILLISECONDS = 15_000;

    private final Path jar;
    private final Path directory;
    private final int relays;
    private final Optional<FaultKind> only;
    private final long startNanoseconds = System.nanoTime();

    /** Result of a run: one line for each violation, and the number of requests by outcome. */
    record Result(List<String> violations, Map<String, Integer> outcomes) {}

    SoakRun(Path jar, Path directory, int relays, Optional<FaultKind> only) {
        this.jar = jar;
        this.directory = directory;
        this.relays = relays;
        this.only = only;
    }

    private long now() {
        return (System.nanoTime() - startNanoseconds) / 1_000_000;
    }

    /** Runs the seed under load for the given time. */
    Result run(long seed, long loadMilliseconds) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        RunLedger ledger = new RunLedger();
        DisturbanceLog disturbances = new DisturbanceLog();
        Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
        Queue<TenantRequest> tenantRequests = new ConcurrentLinkedQueue<>();
        AtomicBoolean ended = new AtomicBoolean();
        List<String> violations = new ArrayList<>();
        try (SoakSite site =
                new SoakSite(jar, directory, relays, random.split(), this::now, ledger)) {
            site.start();
            List<Thread> callers =
                    startCallers(site, exchanges, tenantRequests, ended, random, seed);
            FaultExecutor executor = new FaultExecutor(site, disturbances, this::now);
            injectFaults(
                    site,
                    executor,
                    plan(
                            new FaultPlanner(
                                    random.split(),
                                    new SplittableRandom(~seed),
                                    new SplittableRandom(Long.reverse(seed)),
                                    new SplittableRandom(Long.reverse(~seed)),
                                    new SplittableRandom(Long.rotateLeft(seed, 32))),
                            loadMilliseconds),
                    random);
            violations.addAll(executor.awaitAll());
            violations.addAll(unrecoveredRelays(site, exchanges));
            ended.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            violations.addAll(check(site, exchanges, disturbances, ledger));
            violations.addAll(checkSharing(site, tenantRequests, disturbances, ledger));
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        exchanges.forEach(exchange -> outcomes.merge(outcomeName(exchange), 1, Integer::sum));
        return new Result(violations, outcomes);
    }

    private static List<String> check(
            SoakSite site,
            Queue<Exchange> exchanges,
            DisturbanceLog disturbances,
            RunLedger ledger) {
        GuaranteeChecker checker = new GuaranteeChecker(disturbances, ledger);
        List<String> violations = new ArrayList<>(checker.violations(exchanges));
        violations.addAll(checker.staleRoutes(exchanges, site.storedAt(), site.readyAt()));
        NoticeChecker noticeChecker = new NoticeChecker(disturbances, ledger);
        for (SoakSite.Node node : site.nodes()) {
            violations.addAll(noticeChecker.violations(exchanges, node.upstream().notices()));
        }
        for (SoakSite.Node node : site.nodes()) {
            violations.addAll(checker.callsAfterDrain(node.upstream().drainAcknowledgedAt()));
        }
        return violations;
    }

    private static List<String> checkSharing(
            SoakSite site,
            Queue<TenantRequest> requests,
            DisturbanceLog disturbances,
            RunLedger ledger) {
        TenantChecker.Rules rules = SoakTenants.rules(site.storedAt(), site.relays(0));
        List<String> violations =
                new ArrayList<>(new TenantChecker(rules, ledger).violations(requests));
        PlacementChecker checker = new PlacementChecker(disturbances, ledger);
        violations.addAll(checker.evacuationViolations(site.evacuations()));
        for (SoakSite.Node node : site.nodes()) {
            violations.addAll(
                    checker.coldViolations(
                            node.upstream().coldTimes(), SoakTenants.COLD_PER_SECOND));
        }
        return violations;
    }

    private List<PlannedFault> plan(FaultPlanner planner, long milliseconds) {
        return only.map(kind -> planner.planOnly(kind, milliseconds))
                .orElseGet(() -> planner.plan(milliseconds));
    }

    private static String outcomeName(Exchange exchange) {
        return exchange.status() == 0
                ? exchange.end().name()
                : exchange.end() + "_" + exchange.status();
    }

    private List<Thread> startCallers(
            SoakSite site,
            Queue<Exchange> exchanges,
            Queue<TenantRequest> tenantRequests,
            AtomicBoolean ended,
            SplittableRandom random,
            long seed) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS_PER_RELAY * relays; i++) {
            SoakCaller caller =
                    new SoakCaller(
                            "caller-" + i,
                            i % relays,
                            site,
                            exchanges,
                            ended::get,
                            this::now,
                            random.split(),
                            tenantRequests,
                            new SplittableRandom(seed * CALLERS_PER_RELAY * relays + i));
            Thread thread = new Thread(caller, "caller-" + i);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    private void injectFaults(
            SoakSite site, FaultExecutor executor, List<PlannedFault> plan, SplittableRandom random)
            throws InterruptedException {
        long start = now();
        long nextChange = start;
        for (PlannedFault fault : plan) {
            long due = start + fault.startMilliseconds();
            while (nextChange < due) {
                sleepUntil(nextChange);
                site.changeConfiguration();
                nextChange += random.nextLong(2 * MEAN_CONFIGURATION_INTERVAL_MILLISECONDS);
            }
            sleepUntil(due);
            executor.start(fault);
        }
    }

    private void sleepUntil(long due) throws InterruptedException {
        Thread.sleep(Math.max(0, due - now()));
    }

    /**
     * Waits until each relay has served a request since the last fault; returns a line for each
     * that has not.
     */
    private List<String> unrecoveredRelays(SoakSite site, Queue<Exchange> exchanges)
            throws InterruptedException {
        long faultsEndedAt = now();
        List<String> violations = new ArrayList<>();
        for (int relay = 0; relay < site.nodes().size(); relay++) {
            int number = relay;
            while (exchanges.stream()
                    .noneMatch(
                            exchange ->
                                    exchange.relay() == number
                                            && exchange.sentAt() > faultsEndedAt
                                            && exchange.status() == 200)) {
                if (now() > faultsEndedAt + RECOVERY_TIMEOUT_MILLISECONDS) {
                    violations.add("broken=NOT_RECOVERED relay=" + number);
                    break;
                }
                Thread.sleep(MEAN_CONFIGURATION_INTERVAL_MILLISECONDS / 10);
            }
        }
        return violations;
    }
}
