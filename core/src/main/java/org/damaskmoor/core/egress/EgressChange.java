package org.damaskmoor.core.egress;

/**
 * A destination became limited, or open again. Immutable and thread-safe.
 *
 * @param limited whether it is limited now
 * @param sentPerSecond attempts that were sent to it
 * @param wantedPerSecond attempts that would have been sent to it without a limit
 * @param refusals attempts that it refused for lack of room, in about the last second
 * @param acceptances attempts that it answered, in about the last second
 */
public record EgressChange(
        EgressDestination destination,
        boolean limited,
        double sentPerSecond,
        double wantedPerSecond,
        long refusals,
        long acceptances) {}
