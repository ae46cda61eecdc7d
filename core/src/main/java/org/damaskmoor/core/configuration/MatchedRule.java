package org.damaskmoor.core.configuration;

import java.util.Set;

/**
 * How one kind of request is treated. Immutable and thread-safe.
 *
 * @param name the rule's name; empty for requests that no rule matches
 * @param kind the kind under which the service level is counted
 * @param nonIdempotent whether it runs at most once
 * @param claim whether its Idempotency-Key is claimed before the run
 * @param weight share of the service level that one request counts for; at least 1
 * @param importance 0 (shed first) to 3 (shed last)
 * @param timeoutMilliseconds deadline when the caller names none; 0: the node's default
 * @param allowedCallers the only callers that may use it; empty: all
 */
public record MatchedRule(
        String name,
        String kind,
        boolean nonIdempotent,
        boolean claim,
        int weight,
        int importance,
        int timeoutMilliseconds,
        Set<String> allowedCallers) {
    /** Copies the callers. */
    public MatchedRule {
        allowedCallers = Set.copyOf(allowedCallers);
    }

    /** Whether the caller may use it; if not, the reason of the refusal is NOT_ALLOWED. */
    public boolean allows(String caller) {
        return allowedCallers.isEmpty() || allowedCallers.contains(caller);
    }
}
