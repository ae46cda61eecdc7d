package org.damaskmoor.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of each route's service time on an idle VM and of the size of its calls.
 *
 * <p>Invariant: holds at most {@link #MAX_ROUTES} routes. Not thread-safe.
 */
public final class RouteStatistics {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final int INITIAL_SAMPLES = 8;
    private static final int MAX_ROUTES = 4096;

    /**
     * A call's deadline is too short when less than this fraction of its mean service time is left.
     */
    private static final double MIN_TIME_FRACTION = 0.8;

    /** One in this many calls with too little time left is sent anyway. */
    private static final int CALLS_PER_EXCEPTION = 5;

    /** Size assumed for a call and its answer before the first sample. */
    private static final double DEFAULT_KILOBYTES = 2;

    private final Map<String, Means> routes = new HashMap<>();

    private static final class Means {
        private double milliseconds;
        private double kilobytes;
        private int samples;
        private int tooShort;
    }

    /**
     * Records an answer; {@code slowness} is the upstream's service time as a multiple of normal.
     */
    public void onAnswered(String route, double milliseconds, double slowness, double kilobytes) {
        if (routes.size() >= MAX_ROUTES && !routes.containsKey(route)) {
            routes.clear();
        }
        Means means = routes.computeIfAbsent(route, unused -> new Means());
        means.samples++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / Math.min(means.samples, INITIAL_SAMPLES));
        double normal = milliseconds / Math.max(1, slowness);
        means.milliseconds += weight * (normal - means.milliseconds);
        means.kilobytes += weight * (kilobytes - means.kilobytes);
    }

    /** Mean service time on an idle VM, in milliseconds; 0 before the first answer. */
    public double meanMilliseconds(String route) {
        Means means = routes.get(route);
        return means == null ? 0 : means.milliseconds;
    }

    /**
     * Whether a call has too little time left to be answered. Returns false for one in {@link
     * #CALLS_PER_EXCEPTION} such calls, so that a mean from a time when upstreams were slow is
     * corrected.
     */
    public boolean isDeadlineTooShort(String route, double remainingMilliseconds) {
        Means means = routes.get(route);
        if (means == null || remainingMilliseconds >= MIN_TIME_FRACTION * means.milliseconds) {
            return false;
        }
        means.tooShort++;
        return means.tooShort % CALLS_PER_EXCEPTION != 0;
    }

    /** Mean size of a call and its answer, in kilobytes. */
    public double meanKilobytes(String route) {
        Means means = routes.get(route);
        return means == null ? DEFAULT_KILOBYTES : means.kilobytes;
    }
}
