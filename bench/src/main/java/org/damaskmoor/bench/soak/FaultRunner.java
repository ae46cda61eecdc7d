package org.damaskmoor.bench.soak;

import java.io.IOException;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.bench.soak.SiteFaults.Fault;
import org.damaskmoor.bench.soak.SiteFaults.Step;

/**
 * Injects the faults of a schedule at their planned times.
 *
 * <p>A fault is skipped if its subject already has one or if 4 faults are already active.
 *
 * <p>Invariant: after {@link #heal} every started fault has ended. Thread safe: a dedicated thread
 * runs all steps.
 */
public final class FaultRunner implements AutoCloseable {
    private static final int MAXIMUM_CONCURRENT_FAULTS = 4;
    private static final long HEAL_TIMEOUT_SECONDS = 30;

    private final SiteFaults faults;
    private final Consumer<String> progress;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Fault> open = new LinkedHashMap<>();
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private boolean healed;

    /**
     * @param progress receives a message for each step
     */
    public FaultRunner(SiteFaults faults, Consumer<String> progress) {
        this.faults = faults;
        this.progress = progress;
    }

    /** Schedules the faults, relative to now. */
    @SuppressWarnings("FutureReturnValueIgnored") // A step reports its own failure.
    public void start(List<PlannedFault> schedule) {
        for (PlannedFault fault : schedule) {
            timer.schedule(() -> begin(fault), fault.startMilliseconds(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends all active faults, starts no more, and returns the number of injected faults by kind.
     */
    public Map<FaultKind, Integer> heal() throws InterruptedException, IOException {
        try {
            return timer.submit(this::endAll).get(HEAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IOException("faults not healed: " + open.keySet(), e);
        }
    }

    private Map<FaultKind, Integer> endAll() {
        healed = true;
        List.copyOf(open.values()).forEach(this::end);
        return new EnumMap<>(counts);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // A step reports its own failure.
    private void begin(PlannedFault planned) {
        Fault fault = faults.of(planned);
        if (healed
                || open.containsKey(fault.subject())
                || open.size() >= MAXIMUM_CONCURRENT_FAULTS) {
            return;
        }
        open.put(fault.subject(), fault);
        counts.merge(planned.kind(), 1, Integer::sum);
        String length = planned.durationMilliseconds() + " ms";
        execute(planned.kind() + " " + fault.subject() + " for " + length, fault.begin());
        timer.schedule(() -> end(fault), planned.durationMilliseconds(), TimeUnit.MILLISECONDS);
    }

    private void end(Fault fault) {
        if (open.remove(fault.subject(), fault)) {
            execute("end of fault: " + fault.subject(), fault.end());
        }
    }

    private void execute(String name, Step step) {
        try {
            step.run();
            progress.accept(name);
        } catch (IOException e) {
            progress.accept(name + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
