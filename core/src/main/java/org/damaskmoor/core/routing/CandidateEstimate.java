package org.damaskmoor.core.routing;

/**
 * A router's estimate for one target at one instant, shown to operators. Immutable and thread-safe.
 *
 * @param target the target
 * @param distance distance from the entry node to the target
 * @param expectedNanoseconds expected time until an answer, including penalties for failures and
 *     refusals
 * @param expectedLoad expected number of requests at the target
 * @param share fraction of its normal traffic that ejection leaves the target, from 0 to 1
 * @param available whether the target may be chosen
 */
public record CandidateEstimate(
        Target target,
        Distance distance,
        long expectedNanoseconds,
        double expectedLoad,
        double share,
        boolean available) {}
