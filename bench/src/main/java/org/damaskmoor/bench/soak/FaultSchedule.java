package org.damaskmoor.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Plans faults in advance; faults may overlap.
 *
 * <p>Invariant: the same random numbers give the same schedule. Not thread safe.
 */
public final class FaultSchedule {
    private static final long MINIMUM_MILLISECONDS = 200;
    private static final long MAXIMUM_MILLISECONDS = 8_000;

    private final RandomGenerator random;

    public FaultSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Returns faults with exponentially distributed gaps, in order of their start. */
    public List<PlannedFault> plan(double faultsPerMinute, double seconds) {
        double millisecondsPerFault = TimeUnit.MINUTES.toMillis(1) / faultsPerMinute;
        double end = seconds * TimeUnit.SECONDS.toMillis(1);
        List<PlannedFault> faults = new ArrayList<>();
        double start = random.nextExponential() * millisecondsPerFault;
        while (start < end) {
            faults.add(fault((long) start));
            start += random.nextExponential() * millisecondsPerFault;
        }
        return faults;
    }

    private PlannedFault fault(long startMilliseconds) {
        FaultKind[] kinds = FaultKind.values();
        return new PlannedFault(
                kinds[random.nextInt(kinds.length)],
                startMilliseconds,
                duration(),
                random.nextInt(Integer.MAX_VALUE));
    }

    /** Draws the duration from a log-uniform distribution. */
    private long duration() {
        double logRange = Math.log((double) MAXIMUM_MILLISECONDS / MINIMUM_MILLISECONDS);
        return (long) (MINIMUM_MILLISECONDS * Math.exp(random.nextDouble() * logRange));
    }
}
