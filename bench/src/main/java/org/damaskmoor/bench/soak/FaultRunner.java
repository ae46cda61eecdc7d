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
 * Carries out a schedule of faults in time.
 *
 * <p>A fault whose subject already has one, or that would be one too many at once, is left out.
 *
 * <p>Invariant: after {@link #heal} every fault that began has ended. Thread safe: one thread of
 * its own carries out all steps.
 */
public final class FaultRunner implements AutoCloseable {
    private static final int MOST_AT_ONCE = 4;
    private static final long HEAL_SECONDS = 30;

    private final SiteFaults faults;
    private final Consumer<String> progress;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Fault> open = new LinkedHashMap<>();
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private boolean healed;

    /**
     * @param progress is told each step
     */
    public FaultRunner(SiteFaults faults, Consumer<String> progress) {
        this.faults = faults;
        this.progress = progress;
    }

    /** Starts the clock of the faults. */
    @SuppressWarnings("FutureReturnValueIgnored") // A step reports its own failure.
    public void start(List<PlannedFault> schedule) {
        for (PlannedFault fault : schedule) {
            timer.schedule(() -> begin(fault), fault.startMilliseconds(), TimeUnit.MILLISECONDS);
        }
    }

    /** Ends all open faults, begins no more, and returns how many of each kind there were. */
    public Map<FaultKind, Integer> heal() throws InterruptedException, IOException {
        try {
            return timer.submit(this::endAll).get(HEAL_SECONDS, TimeUnit.SECONDS);
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
        if (healed || open.containsKey(fault.subject()) || open.size() >= MOST_AT_ONCE) {
            return;
        }
        open.put(fault.subject(), fault);
        counts.merge(planned.kind(), 1, Integer::sum);
        String span = planned.durationMilliseconds() + " ms";
        carryOut(planned.kind() + " " + fault.subject() + " for " + span, fault.begin());
        timer.schedule(() -> end(fault), planned.durationMilliseconds(), TimeUnit.MILLISECONDS);
    }

    private void end(Fault fault) {
        if (open.remove(fault.subject(), fault)) {
            carryOut("end of fault: " + fault.subject(), fault.end());
        }
    }

    private void carryOut(String name, Step step) {
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
