package org.damaskmoor.bench.experiment;

import java.util.Locale;
import java.util.function.UnaryOperator;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.node.NodeOptions;

/** The product's policy and the baselines, which neither retry nor hedge nor eject. */
public enum Policy {
    /** What the shipped node runs. */
    PRODUCT,
    /** Any upstream. */
    RANDOM,
    /** Each upstream in turn. */
    ROUND_ROBIN,
    /** The upstream with the fewest own requests. */
    LEAST_OWN_REQUESTS,
    /** The better of two upstreams by own requests; what the bounds speak of. */
    TWO_CHOICES;

    /** Returns the policy's name on the command line and in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the policy of this name.
     *
     * @throws IllegalArgumentException when there is none
     */
    static Policy fromLabel(String label) {
        for (Policy policy : values()) {
            if (policy.label().equals(label)) {
                return policy;
            }
        }
        throw new IllegalArgumentException("--policy has no value " + label);
    }

    /** Returns what a node that runs this policy is started with. */
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
