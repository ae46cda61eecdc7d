package org.damaskmoor.core.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.CallerName;

/**
 * Tracks each caller's requests, waiting and in flight, against its weighted share.
 *
 * <p>A caller's share is its weight divided by the weights of all active callers, those with
 * requests that are waiting or in flight. Each request counts with its own weight. Invariant: holds
 * active callers only. Not thread-safe.
 */
final class CallerShares {
    /** Tolerated use relative to the share, because requests are whole numbers. */
    private static final double TOLERANCE = 1.1;

    private final Map<CallerName, Long> used = new HashMap<>();
    private long total;

    void add(AdmissionRequest request) {
        used.merge(request.caller(), (long) request.weight(), Long::sum);
        total += request.weight();
    }

    void remove(AdmissionRequest request) {
        used.computeIfPresent(request.caller(), (unused, sum) -> subtract(sum, request.weight()));
        total -= request.weight();
    }

    /** Whether one more request would put its caller over its share. */
    boolean isOverShare(AdmissionRequest arriving, AdmissionOptions options) {
        long usedAfter = used.getOrDefault(arriving.caller(), 0L) + arriving.weight();
        return relativeUse(arriving.caller(), usedAfter, arriving, options) > TOLERANCE;
    }

    /**
     * Returns the caller that would be furthest over its share with one more request, or null when
     * none would be over its share.
     */
    CallerName mostOverShare(AdmissionRequest arriving, AdmissionOptions options) {
        CallerName mostOver = null;
        double maxRelativeUse = TOLERANCE;
        for (Map.Entry<CallerName, Long> entry : used.entrySet()) {
            double relativeUse = relativeUse(entry.getKey(), entry.getValue(), arriving, options);
            if (relativeUse > maxRelativeUse) {
                mostOver = entry.getKey();
                maxRelativeUse = relativeUse;
            }
        }
        return mostOver;
    }

    /** A caller's use relative to its share; 1 is exactly the share. */
    private double relativeUse(
            CallerName caller,
            long usedByCaller,
            AdmissionRequest arriving,
            AdmissionOptions options) {
        double share = (double) options.weightOf(caller) / totalWeight(arriving, options);
        return usedByCaller / (share * (total + arriving.weight()));
    }

    private long totalWeight(AdmissionRequest arriving, AdmissionOptions options) {
        long totalWeight =
                used.containsKey(arriving.caller()) ? 0 : options.weightOf(arriving.caller());
        for (CallerName active : used.keySet()) {
            totalWeight += options.weightOf(active);
        }
        return totalWeight;
    }

    private static Long subtract(long sum, int weight) {
        return sum <= weight ? null : Long.valueOf(sum - weight);
    }
}
