package org.damaskmoor.core.queueing;

import java.util.NavigableMap;
import java.util.TreeMap;

/** Moving averages of each priority's share of the recently started calls. Not thread-safe. */
final class PriorityShares {
    /** Weight of one call in the moving average of each priority's share. */
    private static final double SAMPLE_WEIGHT = 0.03;

    private final NavigableMap<Integer, Double> shareByPriority = new TreeMap<>();

    void onStarted(int priority) {
        shareByPriority.replaceAll((otherPriority, share) -> share * (1 - SAMPLE_WEIGHT));
        shareByPriority.merge(priority, SAMPLE_WEIGHT, Double::sum);
    }

    /**
     * Fraction of recent calls with a higher priority; such calls will go before a waiting call.
     */
    double moreUrgentThan(int priority) {
        double share = 0;
        for (var entry : shareByPriority.headMap(priority).entrySet()) {
            share += entry.getValue();
        }
        return share;
    }

    /** Fraction of recent calls with a lower priority. */
    double lessUrgentThan(int priority) {
        double share = 0;
        for (double other : shareByPriority.tailMap(priority, false).values()) {
            share += other;
        }
        return share;
    }
}
