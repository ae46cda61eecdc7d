package org.damaskmoor.core.membership;

/**
 * The times and bounds of the membership protocol. Immutable and thread-safe.
 *
 * @param probeIntervalMilliseconds time between two probes of a node within its region
 * @param probeTimeoutMilliseconds wait for a direct answer before others are asked to probe
 * @param gossipIntervalMilliseconds time between two rounds of spreading fresh news
 * @param gossipFanout members that a round of news goes to
 * @param indirectProbes members asked to probe when the direct probe got no answer
 * @param suspicionMultiplier shortest wait for a refutation, in probe intervals per decade of
 *     members
 * @param suspicionStretch longest wait as a multiple of the shortest
 * @param bridges members of a region that probe one other region
 * @param digestIntervalMilliseconds time between two exchanges of digests
 * @param tombstoneMilliseconds how long dead and left members are remembered
 * @param datagramBytes longest datagram
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

    /** The settings that nodes run with. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                1_000, 300, 100, 3, 3, 3, 6, 3, 30_000, DAY_MILLISECONDS, 1_200);
    }
}
