package org.damaskmoor.core.membership;

/**
 * The intervals, timeouts and limits of the membership protocol. Immutable and thread-safe.
 *
 * @param probeIntervalMilliseconds interval between two probes that a node sends within its region
 * @param probeTimeoutMilliseconds timeout of a direct probe, after which other members are asked to
 *     probe
 * @param gossipIntervalMilliseconds interval between two gossip rounds
 * @param gossipFanout number of members that a gossip round is sent to
 * @param indirectProbes number of members asked to probe after a direct probe timed out
 * @param suspicionMultiplier minimum suspicion timeout, in probe intervals per power of ten of
 *     members
 * @param suspicionStretch maximum suspicion timeout as a multiple of the minimum
 * @param bridges number of members of a region that probe each other region
 * @param digestIntervalMilliseconds interval between two digest exchanges
 * @param tombstoneMilliseconds how long the records of dead and departed members are kept
 * @param datagramBytes maximum size of a datagram
 */
public record MembershipSettings(
        long probeIntervalMilliseconds,
        long probeTimeoutMilliseconds,
        long gossipIntervalMilliseconds,
        int gossipFanout,
        int indirectProbes,
        int suspicionMultiplier,
        int suspicionStretch,
        int bridges,
        long digestIntervalMilliseconds,
        long tombstoneMilliseconds,
        int datagramBytes) {
    private static final long DAY_MILLISECONDS = 86_400_000;

    /** The settings used in production. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                1_000, 300, 100, 3, 3, 3, 6, 3, 30_000, DAY_MILLISECONDS, 1_200);
    }
}
