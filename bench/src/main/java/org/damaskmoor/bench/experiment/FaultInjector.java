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
 * Brings a scenario's fault about while the measured load runs.
 *
 * <p>Invariant: the same seed gives the same faults at the same times. Used by one thread; the
 * faults run on a thread of their own.
 */
final class FaultInjector implements AutoCloseable {
    private static final long FIRST_MILLISECONDS = 200;

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

    /** Starts the clock of the faults. */
    void start() {
        switch (fault.kind()) {
            case SLOW_SPELLS, NOISY_NEIGHBOURS -> after(FIRST_MILLISECONDS, this::spell);
            case COLD_START -> after(FIRST_MILLISECONDS, this::coldStart);
            case FAIL_FAST ->
                    after(FIRST_MILLISECONDS, () -> last().forEach(ExperimentUpstream::failFast));
            default -> {
                // no fault
            }
        }
    }

    private void after(long milliseconds, Runnable task) {
        var unused = timer.schedule(task, milliseconds, TimeUnit.MILLISECONDS);
    }

    private void spell() {
        List<ExperimentUpstream> slow = concerned();
        slow.forEach(upstream -> upstream.setServiceTimeFactor(fault.factor()));
        long pause = Math.round(fault.pauseMilliseconds() * (0.5 + random.nextDouble()));
        after(
                fault.spellMilliseconds(),
                () -> {
                    slow.forEach(upstream -> upstream.setServiceTimeFactor(1));
                    after(pause, this::spell);
                });
    }

    private List<ExperimentUpstream> concerned() {
        if (fault.kind() == Scenario.FaultKind.NOISY_NEIGHBOURS) {
            return last();
        }
        return List.of(site.upstreams().get(random.nextInt(site.upstreams().size())));
    }

    private List<ExperimentUpstream> last() {
        List<ExperimentUpstream> all = site.upstreams();
        return all.subList(all.size() - fault.upstreams(), all.size());
    }

    private void coldStart() {
        try {
            site.startColdUpstreams(new ColdStart(fault.spellMilliseconds(), fault.factor()));
        } catch (IOException e) {
            throw new IllegalStateException("the cold upstream could not start", e);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
