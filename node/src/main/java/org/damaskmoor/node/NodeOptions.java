package org.damaskmoor.node;

import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Router;

/**
 * Options of a node that benchmarks run in their own process; the released binary has no flags for
 * them.
 *
 * <pre>{@code
 * NodeOptions random =
 *         new NodeOptions(candidates -> ChoicePolicies.random(), false, false, router -> router);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param policy creates the policy that chooses a target, given the number of sampled candidates
 * @param furtherAttempts whether requests are retried and hedged
 * @param ejection whether failing upstreams are ejected
 * @param observer wraps the router of each service, on the caller event loop
 */
public record NodeOptions(
        IntFunction<ChoicePolicy> policy,
        boolean furtherAttempts,
        boolean ejection,
        UnaryOperator<Router> observer) {
    /** The options of the released binary. */
    public static final NodeOptions PRODUCT =
            new NodeOptions(
                    ChoicePolicies::expectedCompletion, true, true, UnaryOperator.identity());
}
