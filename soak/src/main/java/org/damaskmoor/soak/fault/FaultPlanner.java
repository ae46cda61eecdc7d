package org.damaskmoor.soak.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Plans faults in advance, as series of overlapping faults at random times.
 *
 * <p>Invariant: the same random numbers give the same plan. Not thread-safe.
 */
public final class FaultPlanner {
    private static final double MEAN_SERIES_INTERVAL_MILLISECONDS = 2000;
    private static final double MEAN_LATER_INTERVAL_MILLISECONDS = 6000;
    private static final double MEAN_EVACUATION_INTERVAL_MILLISECONDS = 12_000;
    private static final double MEAN_SINGLE_KIND_INTERVAL_MILLISECONDS = 500;
    private static final int MAXIMUM_SERIES_LENGTH = 4;
    private static final long SERIES_WINDOW_MILLISECONDS = 900;
    private static final double MINIMUM_DURATION_MILLISECONDS = 100;
    private static final double MAXIMUM_DURATION_MILLISECONDS = 5000;

    private final RandomGenerator random;
    private final RandomGenerator laterRandom;
    private final RandomGenerator latestRandom;
    private final RandomGenerator stutterRandom;
    private final RandomGenerator evacuationRandom;

    /**
     * Creates a planner.
     *
     * @param random for the first kinds of fault
     * @param laterRandom for the kinds added later, so that seeds keep the plan that they had
     * @param latestRandom for the kinds added after those
     * @param stutterRandom for the kinds in which upstreams answer twice, and for plans of one kind
     * @param evacuationRandom for evacuations
     */
    public FaultPlanner(
            RandomGenerator random,
            RandomGenerator laterRandom,
            RandomGenerator latestRandom,
            RandomGenerator stutterRandom,
            RandomGenerator evacuationRandom) {
        this.random = random;
        this.laterRandom = laterRandom;
        this.latestRandom = latestRandom;
        this.stutterRandom = stutterRandom;
        this.evacuationRandom = evacuationRandom;
    }

    /** Returns the faults for a load of the given length, ordered by start time. */
    public List<PlannedFault> plan(long milliseconds) {
        List<PlannedFault> faults = new ArrayList<>();
        double start = random.nextExponential() * MEAN_SERIES_INTERVAL_MILLISECONDS;
        while (start < milliseconds) {
            int count = 1 + random.nextInt(MAXIMUM_SERIES_LENGTH);
            for (int i = 0; i < count; i++) {
                long at = (long) start + random.nextLong(SERIES_WINDOW_MILLISECONDS);
                faults.add(fault(at, FaultKind.FIRST_KINDS, random));
            }
            start += random.nextExponential() * MEAN_SERIES_INTERVAL_MILLISECONDS;
        }
        addFaults(
                faults,
                FaultKind.LATER_KINDS,
                laterRandom,
                MEAN_LATER_INTERVAL_MILLISECONDS,
                milliseconds);
        addFaults(
                faults,
                FaultKind.LATEST_KINDS,
                latestRandom,
                MEAN_LATER_INTERVAL_MILLISECONDS,
                milliseconds);
        addFaults(
                faults,
                FaultKind.STUTTER_KINDS,
                stutterRandom,
                MEAN_LATER_INTERVAL_MILLISECONDS,
                milliseconds);
        addFaults(
                faults,
                FaultKind.EVACUATION_KINDS,
                evacuationRandom,
                MEAN_EVACUATION_INTERVAL_MILLISECONDS,
                milliseconds);
        faults.sort(Comparator.comparingLong(PlannedFault::startMilliseconds));
        return faults;
    }

    /** Returns faults of one kind in close succession, ordered by start time. */
    public List<PlannedFault> planOnly(FaultKind kind, long milliseconds) {
        List<PlannedFault> faults = new ArrayList<>();
        addFaults(
                faults,
                List.of(kind),
                stutterRandom,
                MEAN_SINGLE_KIND_INTERVAL_MILLISECONDS,
                milliseconds);
        return faults;
    }

    private static void addFaults(
            List<PlannedFault> faults,
            List<FaultKind> kinds,
            RandomGenerator random,
            double meanIntervalMilliseconds,
            long milliseconds) {
        double start = random.nextExponential() * meanIntervalMilliseconds;
        while (start < milliseconds) {
            faults.add(fault((long) start, kinds, random));
            start += random.nextExponential() * meanIntervalMilliseconds;
        }
    }

    private static PlannedFault fault(long start, List<FaultKind> kinds, RandomGenerator random) {
        double interval = Math.log(MAXIMUM_DURATION_MILLISECONDS / MINIMUM_DURATION_MILLISECONDS);
        long duration =
                (long) (MINIMUM_DURATION_MILLISECONDS * Math.exp(random.nextDouble() * interval));
        return new PlannedFault(
                kinds.get(random.nextInt(kinds.size())),
                random.nextInt(Integer.MAX_VALUE),
                start,
                duration);
    }
}
