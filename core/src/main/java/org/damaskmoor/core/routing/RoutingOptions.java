package org.damaskmoor.core.routing;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.configuration.RoutingPolicy;

/**
 * The routing settings in force for one service. Immutable and thread-safe.
 *
 * @param sampledCandidates candidates weighed for each choice, at least 1
 * @param slowStartNanoseconds time in which a cold upstream's share grows to a full one
 * @param ejectedPercent most of a service's upstreams that may be ejected at once
 */
public record RoutingOptions(int sampledCandidates, long slowStartNanoseconds, int ejectedPercent) {
    /** What holds for a service that sets nothing. */
    public static final RoutingOptions DEFAULT =
            new RoutingOptions(4, TimeUnit.SECONDS.toNanos(10), 25);

    public RoutingOptions {
        if (sampledCandidates < 1) {
            throw new IllegalArgumentException(
                    "At least one candidate must be sampled, but was " + sampledCandidates + ".");
        }
    }

    /** The options that an operator's policy sets; its zeroes are taken from {@code defaults}. */
    public static RoutingOptions of(RoutingPolicy policy, RoutingOptions defaults) {
        int sampled = policy.getSampledCandidates();
        int slowStart = policy.getSlowStartMilliseconds();
        int ejected = policy.getEjectedPercent();
        return new RoutingOptions(
                sampled == 0 ? defaults.sampledCandidates : sampled,
                slowStart == 0
                        ? defaults.slowStartNanoseconds
                        : TimeUnit.MILLISECONDS.toNanos(slowStart),
                ejected == 0 ? defaults.ejectedPercent : Math.min(100, ejected));
    }
}
