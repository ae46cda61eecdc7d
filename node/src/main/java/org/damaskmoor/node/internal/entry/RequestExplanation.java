package org.damaskmoor.node.internal.entry;

import java.util.List;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.routing.CandidateEstimate;

/**
 * Where a request would be routed now, and why. Immutable and thread-safe.
 *
 * @param rule the rule that applies
 * @param allowed whether the rule allows the caller
 * @param candidates the service's upstreams with the weights that the router gives them
 * @param spillsToOtherRegions whether requests go to other regions because the own region has no
 *     spare capacity
 */
public record RequestExplanation(
        MatchedRule rule,
        boolean allowed,
        List<CandidateEstimate> candidates,
        boolean spillsToOtherRegions) {
    /** Copies the candidates. */
    public RequestExplanation {
        candidates = List.copyOf(candidates);
    }
}
