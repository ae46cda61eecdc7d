package org.damaskmoor.bench.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.experiment.Scenario.Fault;
import org.damaskmoor.bench.upstream.ServiceTimes.ColdStart;

/**
 * Injects a scenario's fault while the measured load runs.
 *
 * <p>Invariant: the same seed gives the same faults at the same times. Confined to one thread; the
 * faults run on a timer thread.
 */
final class FaultInjector implements AutoCloseable {
    private static final long FIRST_FAULT_MILLISECONDS = 200;

    private final Fault fault;
    private final ExperimentSite site;
    private final Random random;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(FaultInjector::thread);

    FaultInjector(Fault fault, ExperimentSite site, long seed) {
        this.fault = fault;
        this.site = site;
        this.random = new Random(seed);
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "faults");
        thread.setDaemon(true);
        return thread;
    }

    /** Schedules the faults, relative to now. */
    void start() {
        switch (fault.kind()) {
            case SLOW_SPELLS, NOISY_NEIGHBOURS ->
                    schedule(FIRST_FAULT_MILLISECONDS, this::startSlowSpell);
            case COLD_START -> schedule(FIRST_FAULT_MILLISECONDS, this::startColdUpstreams);
            case FAIL_FAST ->
                    schedule(
                            FIRST_FAULT_MILLISECONDS,
                            () -> lastUpstreams().forEach(ExperimentUpstream::failFast));
            default -> {
                // FaultKind.NONE
            }
        }
    }

    private void schedule(long milliseconds, Runnable task) {
        var unused = timer.schedule(task, milliseconds, TimeUnit.MILLISECONDS);
    }

    private void startSlowSpell() {
        List<ExperimentUpstream> slow = slowUpstreams();
        slow.forEach(upstream -> upstream.setServiceTimeFactor(fault.factor()));
        long pause = Math.round(fault.pauseMilliseconds() * (0.5 + random.nextDouble()));
        schedule(
                fault.spellMilliseconds(),
                () -> {
                    slow.forEach(upstream -> upstream.setServiceTimeFactor(1));
                    schedule(pause, this::startSlowSpell);
                });
    }

    private List<ExperimentUpstream> slowUpstreams() {
        if (fault.kind() == Scenario.FaultKind.NOISY_NEIGHBOURS) {
            return lastUpstreams();
        }
        return List.of(site.upstreams().get(random.nextInt(site.upstreams().size())));
    }

    private List<ExperimentUpstream> lastUpstreams() {
        List<ExperimentUpstream> all = site.upstreams();
        return all.subList(all.size() - fault.upstreams(), all.size());
    }

    private void startColdUpstreams() {
        try {
            site.startColdUpstreams(new ColdStart(fault.spellMilliseconds(), fault.factor()));
        } catch (IOException e) {
            throw new IllegalStateException("could not start the cold upstreams", e);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
