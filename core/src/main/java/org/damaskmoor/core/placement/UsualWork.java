package org.damaskmoor.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * What calls of each route usually take on an idle VM, learnt from their answers.
 *
 * <p>Invariant: holds at most {@link #MOST_ROUTES} routes. Not thread-safe.
 */
public final class UsualWork {
    private static final double NEWS_WEIGHT = 0.05;
    private static final int FIRST_SAMPLES = 8;
    private static final int MOST_ROUTES = 4096;

    private final Map<String, Mean> means = new HashMap<>();

    private static final class Mean {
        private double milliseconds;
        private int samples;
    }

    /** A call was answered after the given time by an upstream of the given slowness. */
    public void answered(String route, double milliseconds, double slowness) {
        if (means.size() >= MOST_ROUTES && !means.containsKey(route)) {
            means.clear();
        }
        Mean mean = means.computeIfAbsent(route, unused -> new Mean());
        double usual = milliseconds / Math.max(1, slowness);
        mean.samples++;
        double weight = Math.max(NEWS_WEIGHT, 1.0 / Math.min(mean.samples, FIRST_SAMPLES));
        mean.milliseconds += weight * (usual - mean.milliseconds);
    }

    /** Usual time in milliseconds; 0 when no answer came yet. */
    public double milliseconds(String route) {
        Mean mean = means.get(route);
        return mean == null ? 0 : mean.milliseconds;
    }
}
