package org.damaskmoor.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * What calls of each route usually take on an idle VM and usually carry, learnt from their answers.
 *
 * <p>Invariant: holds at most {@link #MOST_ROUTES} routes. Not thread-safe.
 */
public final class RouteStatistics {
    private static final double NEWS_WEIGHT = 0.05;
    private static final int FIRST_SAMPLES = 8;
    private static final int MOST_ROUTES = 4096;

    /** Least part of its usual time that a call needs to be worth sending. */
    private static final double LEAST_WORK_SHARE = 0.8;

    /** Of so many calls with too little time left one is sent anyway. */
    private static final int TRIED_ANYWAY = 5;

    /** Size of a call and its answer before any was seen, in kilobytes. */
    private static final double UNKNOWN_KILOBYTES = 2;

    private final Map<String, Means> routes = new HashMap<>();

    private static final class Means {
        private double milliseconds;
        private double kilobytes;
        private int samples;
        private int tooShort;
    }

    /** A call was answered after the given time by an upstream of the given slowness. */
    public void onAnswered(String route, double milliseconds, double slowness, double kilobytes) {
        if (routes.size() >= MOST_ROUTES && !routes.containsKey(route)) {
            routes.clear();
        }
        Means means = routes.computeIfAbsent(route, unused -> new Means());
        means.samples++;
        double weight = Math.max(NEWS_WEIGHT, 1.0 / Math.min(means.samples, FIRST_SAMPLES));
        double usual = milliseconds / Math.max(1, slowness);
        means.milliseconds += weight * (usual - means.milliseconds);
        means.kilobytes += weight * (kilobytes - means.kilobytes);
    }

    /** Usual time in milliseconds; 0 when no answer came yet. */
    public double meanMilliseconds(String route) {
        Means means = routes.get(route);
        return means == null ? 0 : means.milliseconds;
    }

    /**
     * Whether a call has too little time left to be answered. One of {@link #TRIED_ANYWAY} is not
     * said to be, so that a time that was learnt while upstreams were slow is unlearnt again.
     */
    public boolean isDeadlineTooShort(String route, double leftMilliseconds) {
        Means means = routes.get(route);
        if (means == null || leftMilliseconds >= LEAST_WORK_SHARE * means.milliseconds) {
            return false;
        }
        means.tooShort++;
        return means.tooShort % TRIED_ANYWAY != 0;
    }

    /** Usual size of a call and its answer, in kilobytes. */
    public double meanKilobytes(String route) {
        Means means = routes.get(route);
        return means == null ? UNKNOWN_KILOBYTES : means.kilobytes;
    }
}
