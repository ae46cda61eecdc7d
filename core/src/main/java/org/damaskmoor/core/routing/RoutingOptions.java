package org.damaskmoor.core.routing;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.configuration.RoutingPolicy;

/**
 * The effective routing settings of one service. Immutable and thread-safe.
 *
 * @param sampledCandidates number of candidates compared for each choice, at least 1
 * @param slowStartNanoseconds duration of slow start: time in which the share of a newly started
 *     upstream grows to its full share
 * @param ejectedPercent maximum percentage of the service's upstreams that may be ejected at once
 */
public record RoutingOptions(int sampledCandidates, long slowStartNanoseconds, int ejectedPercent) {
    /** The options of a service that configures none. */
    public static final RoutingOptions DEFAULT =
            new RoutingOptions(4, TimeUnit.SECONDS.toNanos(10), 25);

    public RoutingOptions {
        if (sampledCandidates < 1) {
            throw new IllegalArgumentException(
                    "The number of sampled candidates must be at least 1, but was "
                            + sampledCandidates
                            + ".");
        }
    }

    /**
     * Returns the options set by the operator's policy; fields that are 0 fall back to {@code
     * defaults}.
     */
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
