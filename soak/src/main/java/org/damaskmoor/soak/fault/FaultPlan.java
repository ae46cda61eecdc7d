package org.damaskmoor.soak.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Lays down in advance what goes wrong and when: series of faults that overlap.
 *
 * <p>Invariant: the same random numbers give the same plan. Not thread-safe.
 */
public final class FaultPlan {
    private static final double SERIES_EVERY_MILLISECONDS = 2000;
    private static final int LONGEST_SERIES = 4;
    private static final long WITHIN_SERIES_MILLISECONDS = 900;
    private static final double SHORTEST_MILLISECONDS = 100;
    private static final double LONGEST_MILLISECONDS = 5000;

    private final RandomGenerator random;

    public FaultPlan(RandomGenerator random) {
        this.random = random;
    }

    /** The faults that begin within a time, in the order of their begin. */
    public List<PlannedFault> plan(long milliseconds) {
        List<PlannedFault> faults = new ArrayList<>();
        double start = random.nextExponential() * SERIES_EVERY_MILLISECONDS;
        while (start < milliseconds) {
            int count = 1 + random.nextInt(LONGEST_SERIES);
            for (int i = 0; i < count; i++) {
                faults.add(fault((long) start + random.nextLong(WITHIN_SERIES_MILLISECONDS)));
            }
            start += random.nextExponential() * SERIES_EVERY_MILLISECONDS;
        }
        faults.sort(Comparator.comparingLong(PlannedFault::startMilliseconds));
        return faults;
    }

    private PlannedFault fault(long start) {
        FaultKind[] kinds = FaultKind.values();
        double span = Math.log(LONGEST_MILLISECONDS / SHORTEST_MILLISECONDS);
        long duration = (long) (SHORTEST_MILLISECONDS * Math.exp(random.nextDouble() * span));
        return new PlannedFault(
                kinds[random.nextInt(kinds.length)],
                random.nextInt(Integer.MAX_VALUE),
                start,
                duration);
    }
}
