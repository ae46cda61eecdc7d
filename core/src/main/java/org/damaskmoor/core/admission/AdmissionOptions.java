package org.damaskmoor.core.admission;

import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.schema.configuration.AdmissionPolicy;
import org.damaskmoor.schema.configuration.CallerWeight;

/**
 * The effective admission settings for one upstream. Immutable and thread-safe.
 *
 * @param concurrencyLimit maximum number of requests in flight; 0 for the number that the upstream
 *     announced
 * @param queueLimit maximum number of waiting requests
 * @param callerWeights weights of the callers' shares when capacity is short; other callers have
 *     weight 1
 */
public record AdmissionOptions(
        int concurrencyLimit, int queueLimit, Map<CallerName, Integer> callerWeights) {
    public AdmissionOptions {
        callerWeights = Map.copyOf(callerWeights);
    }

    /** Returns the options set by the operator's policy. */
    public static AdmissionOptions of(AdmissionPolicy policy, int defaultQueueLimit) {
        Map<CallerName, Integer> weights = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        for (CallerWeight entry : policy.getCallerWeightsList()) {
            weights.put(new CallerName(entry.getCaller()), Math.max(1, entry.getWeight()));
        }
        int queueLimit = policy.getQueueLimit() == 0 ? defaultQueueLimit : policy.getQueueLimit();
        return new AdmissionOptions(policy.getConcurrencyLimit(), queueLimit, weights);
    }

    /** Returns the weight of a caller's share. */
    public int weightOf(CallerName caller) {
        return callerWeights.getOrDefault(caller, 1);
    }
}
