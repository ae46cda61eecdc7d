package org.damaskmoor.node;

import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Router;

/**
 * What a benchmark may change in a node that it runs itself; the shipped binary has no flags for
 * it.
 *
 * <pre>{@code
 * NodeOptions random =
 *         new NodeOptions(candidates -> ChoicePolicies.random(), false, false, router -> router);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param policy how to choose a target, from the number of candidates that is sampled
 * @param furtherAttempts whether requests are retried and hedged
 * @param ejection whether failing upstreams lose traffic
 * @param observer put around the router of each service, on the caller event loop
 */
public record NodeOptions(
        IntFunction<ChoicePolicy> policy,
        boolean furtherAttempts,
        boolean ejection,
        UnaryOperator<Router> observer) {
    /** What the shipped binary runs. */
    public static final NodeOptions PRODUCT =
            new NodeOptions(
                    ChoicePolicies::expectedCompletion, true, true, UnaryOperator.identity());
}
