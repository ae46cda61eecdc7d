package org.damaskmoor.core.admission;

import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.schema.configuration.AdmissionPolicy;
import org.damaskmoor.schema.configuration.CallerWeight;

/**
 * The admission settings in force beside one upstream. Immutable and thread-safe.
 *
 * @param concurrencyLimit most requests handed over at once; 0 means what the upstream announced
 * @param queueLimit most requests that wait
 * @param callerWeights shares when capacity is short; a caller not named has weight 1
 */
public record AdmissionOptions(
        int concurrencyLimit, int queueLimit, Map<CallerName, Integer> callerWeights) {
    public AdmissionOptions {
        callerWeights = Map.copyOf(callerWeights);
    }

    /** The options that an operator's policy sets. */
    public static AdmissionOptions of(AdmissionPolicy policy, int defaultQueueLimit) {
        Map<CallerName, Integer> weights = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        for (CallerWeight entry : policy.getCallerWeightsList()) {
            weights.put(new CallerName(entry.getCaller()), Math.max(1, entry.getWeight()));
        }
        int queueLimit = policy.getQueueLimit() == 0 ? defaultQueueLimit : policy.getQueueLimit();
        return new AdmissionOptions(policy.getConcurrencyLimit(), queueLimit, weights);
    }

    /** The weight of a caller's share. */
    public int weightOf(CallerName caller) {
        return callerWeights.getOrDefault(caller, 1);
    }
}
