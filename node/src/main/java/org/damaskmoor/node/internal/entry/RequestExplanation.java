package org.damaskmoor.node.internal.entry;

import java.util.List;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.routing.CandidateEstimate;

/**
 * Where a request would go now, and why. Immutable and thread-safe.
 *
 * @param rule the rule that decides
 * @param allowed whether the rule lets the caller in
 * @param candidates each upstream of the service as the router weighs it
 * @param regionHeadroomGone whether other regions are asked because the own one is full
 */
public record RequestExplanation(
        MatchedRule rule,
        boolean allowed,
        List<CandidateEstimate> candidates,
        boolean regionHeadroomGone) {
    /** Copies the candidates. */
    public RequestExplanation {
        candidates = List.copyOf(candidates);
    }
}
