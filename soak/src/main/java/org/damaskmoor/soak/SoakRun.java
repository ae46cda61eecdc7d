package org.damaskmoor.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.damaskmoor.soak.fault.FaultPlan;
import org.damaskmoor.soak.fault.PlannedFault;
import org.damaskmoor.soak.promise.Disturbances;
import org.damaskmoor.soak.promise.Exchange;
import org.damaskmoor.soak.promise.Promises;
import org.damaskmoor.soak.promise.RunLedger;

/**
 * One seed: a site under load while faults come and go, then checked for recovery.
 *
 * <p>Confined to one thread. Invariant: the same seed gives the same plan of faults.
 */
final class SoakRun {
    private static final int CALLERS_PER_RELAY = 6;
    private static final long CONFIGURATION_EVERY_MILLISECONDS = 1500;

    /** Time in which all relays serve again after the last fault. */
    private static final long RECOVERY_MILLISECONDS = 15_000;

    private final Path jar;
    private final Path directory;
    private final int relays;
    private final long beganAt = System.nanoTime();

    /** What came of a run: one line for each broken promise, and how many requests there were. */
    record Result(List<String> broken, Map<String, Integer> ends) {}

    SoakRun(Path jar, Path directory, int relays) {
        this.jar = jar;
        this.directory = directory;
        this.relays = relays;
    }

    private long now() {
        return (System.nanoTime() - beganAt) / 1_000_000;
    }

    /** Plays a seed. */
    Result play(long seed, long loadMilliseconds) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        RunLedger ledger = new RunLedger();
        Disturbances disturbances = new Disturbances();
        Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
        AtomicBoolean ended = new AtomicBoolean();
        List<String> broken = new ArrayList<>();
        try (SoakSite site =
                new SoakSite(jar, directory, relays, random.split(), this::now, ledger)) {
            site.start();
            List<Thread> callers = startCallers(site, exchanges, ended, random);
            FaultPlayer player = new FaultPlayer(site, disturbances, this::now);
            playFaults(site, player, new FaultPlan(random.split()).plan(loadMilliseconds), random);
            broken.addAll(player.await());
            broken.addAll(unrecovered(site, exchanges));
            ended.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            Promises promises = new Promises(disturbances, ledger);
            broken.addAll(promises.broken(exchanges));
            broken.addAll(promises.outdated(exchanges, site.acknowledged(), site.startedAt()));
            site.nodes()
                    .forEach(
                            node ->
                                    broken.addAll(
                                            promises.afterLeaving(node.upstream().leavingSince())));
        }
        Map<String, Integer> ends = new TreeMap<>();
        exchanges.forEach(exchange -> ends.merge(name(exchange), 1, Integer::sum));
        return new Result(broken, ends);
    }

    private static String name(Exchange exchange) {
        return exchange.status() == 0
                ? exchange.end().name()
                : exchange.end() + "_" + exchange.status();
    }

    private List<Thread> startCallers(
            SoakSite site,
            Queue<Exchange> exchanges,
            AtomicBoolean ended,
            SplittableRandom random) {
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
                            random.split());
            Thread thread = new Thread(caller, "caller-" + i);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    private void playFaults(
            SoakSite site, FaultPlayer player, List<PlannedFault> plan, SplittableRandom random)
            throws InterruptedException {
        long start = now();
        long nextChange = start;
        for (PlannedFault fault : plan) {
            long due = start + fault.startMilliseconds();
            while (nextChange < due) {
                sleepUntil(nextChange);
                site.changeConfiguration();
                nextChange += random.nextLong(2 * CONFIGURATION_EVERY_MILLISECONDS);
            }
            sleepUntil(due);
            player.play(fault);
        }
    }

    private void sleepUntil(long due) throws InterruptedException {
        Thread.sleep(Math.max(0, due - now()));
    }

    /** Waits until each relay has served since the last fault. */
    private List<String> unrecovered(SoakSite site, Queue<Exchange> exchanges)
            throws InterruptedException {
        long healed = now();
        List<String> missing = new ArrayList<>();
        for (int relay = 0; relay < site.nodes().size(); relay++) {
            int number = relay;
            while (exchanges.stream()
                    .noneMatch(
                            exchange ->
                                    exchange.relay() == number
                                            && exchange.sentAt() > healed
                                            && exchange.status() == 200)) {
                if (now() > healed + RECOVERY_MILLISECONDS) {
                    missing.add("broken=NOT_RECOVERED relay=" + number);
                    break;
                }
                Thread.sleep(CONFIGURATION_EVERY_MILLISECONDS / 10);
            }
        }
        return missing;
    }
}
