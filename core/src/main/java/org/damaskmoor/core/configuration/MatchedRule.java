package org.damaskmoor.core.configuration;

import java.util.Set;

/**
 * The rule that applies to a request. Immutable and thread-safe.
 *
 * @param name the rule's name; empty for requests that no rule matches
 * @param kind the kind under which the service level is counted
 * @param nonIdempotent whether it runs at most once
 * @param claim whether its Idempotency-Key is claimed before the run
 * @param weight weight of one request in the service level; at least 1
 * @param importance 0 (shed first) to 3 (shed last)
 * @param timeoutMilliseconds deadline if the caller sets none; 0: the node's default
 * @param allowedCallers the only callers that may send such requests; empty: all
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

    /** Returns whether the caller may send such requests; others are refused as NOT_ALLOWED. */
    public boolean allows(String caller) {
        return allowedCallers.isEmpty() || allowedCallers.contains(caller);
    }
}
