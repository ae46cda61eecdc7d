package org.damaskmoor.core.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.CallerName;

/**
 * What each caller has here, waiting and in flight, and what is its share by weight.
 *
 * <p>A share is the caller's weight over the weights of all callers that have anything here. A
 * request counts with its own weight. Invariant: holds only callers that have something here. Not
 * thread-safe.
 */
final class CallerShares {
    /** A caller may go so far over its share, because requests come in whole numbers. */
    private static final double TOLERANCE = 1.1;

    private final Map<CallerName, Long> used = new HashMap<>();
    private long total;

    void add(AdmissionRequest request) {
        used.merge(request.caller(), (long) request.weight(), Long::sum);
        total += request.weight();
    }

    void remove(AdmissionRequest request) {
        used.computeIfPresent(request.caller(), (unused, sum) -> less(sum, request.weight()));
        total -= request.weight();
    }

    /** Whether one more request would put its caller over its share. */
    boolean isOverShare(AdmissionRequest coming, AdmissionOptions options) {
        long usedAfter = used.getOrDefault(coming.caller(), 0L) + coming.weight();
        return excess(coming.caller(), usedAfter, coming, options) > TOLERANCE;
    }

    /**
     * The caller that is furthest over its share once one more request is here; null when all keep
     * within theirs.
     */
    CallerName mostOverShare(AdmissionRequest coming, AdmissionOptions options) {
        CallerName furthest = null;
        double most = TOLERANCE;
        for (Map.Entry<CallerName, Long> entry : used.entrySet()) {
            double excess = excess(entry.getKey(), entry.getValue(), coming, options);
            if (excess > most) {
                furthest = entry.getKey();
                most = excess;
            }
        }
        return furthest;
    }

    /** What a caller uses as a part of its share; 1 is just its share. */
    private double excess(
            CallerName caller,
            long usedByCaller,
            AdmissionRequest coming,
            AdmissionOptions options) {
        double share = (double) options.weightOf(caller) / weights(coming, options);
        return usedByCaller / (share * (total + coming.weight()));
    }

    private long weights(AdmissionRequest coming, AdmissionOptions options) {
        long weights = used.containsKey(coming.caller()) ? 0 : options.weightOf(coming.caller());
        for (CallerName active : used.keySet()) {
            weights += options.weightOf(active);
        }
        return weights;
    }

    private static Long less(long sum, int weight) {
        return sum <= weight ? null : Long.valueOf(sum - weight);
    }
}
