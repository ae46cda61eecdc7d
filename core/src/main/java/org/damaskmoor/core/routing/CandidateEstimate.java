package org.damaskmoor.core.routing;

/**
 * How a router weighs one target at one instant. Immutable and thread-safe.
 *
 * @param target the target
 * @param distance how far it is
 * @param expectedNanoseconds expected time until an answer, failures weighed as time
 * @param expectedLoad expected requests at the target
 * @param share part of its normal traffic that it is allowed, from 0 to 1
 * @param available whether it may be chosen
 */
public record CandidateEstimate(
        Target target,
        Distance distance,
        long expectedNanoseconds,
        double expectedLoad,
        double share,
        boolean available) {}
