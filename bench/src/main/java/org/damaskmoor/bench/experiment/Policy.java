package org.damaskmoor.bench.experiment;

import java.util.Locale;
import java.util.function.UnaryOperator;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.node.NodeOptions;

/**
 * Load balancing policies that experiments compare: the product's own and baselines, which don't
 * retry, hedge or eject.
 */
public enum Policy {
    /** The policy of the shipped node, by expected completion time. */
    PRODUCT,
    /** A random upstream. */
    RANDOM,
    /** Each upstream in turn. */
    ROUND_ROBIN,
    /** The upstream with the fewest open requests from this node. */
    LEAST_OWN_REQUESTS,
    /**
     * The less loaded of two random upstreams, by this node's own open requests; the reference for
     * the latency bounds.
     */
    TWO_CHOICES;

    /** Returns the policy's name on the command line and in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the policy with this label.
     *
     * @throws IllegalArgumentException when there is no such policy
     */
    static Policy fromLabel(String label) {
        for (Policy policy : values()) {
            if (policy.label().equals(label)) {
                return policy;
            }
        }
        throw new IllegalArgumentException("--policy: unknown policy " + label);
    }

    /** Returns the options of a node that runs this policy. */
    NodeOptions options(UnaryOperator<Router> observer) {
        boolean product = this == PRODUCT;
        return new NodeOptions(this::choice, product, product, observer);
    }

    private ChoicePolicy choice(int candidates) {
        return switch (this) {
            case PRODUCT -> ChoicePolicies.expectedCompletion(candidates);
            case RANDOM -> ChoicePolicies.random();
            case ROUND_ROBIN -> ChoicePolicies.roundRobin();
            case LEAST_OWN_REQUESTS -> ChoicePolicies.leastOwnRequests();
            case TWO_CHOICES -> ChoicePolicies.powerOfTwoChoices();
        };
    }
}
