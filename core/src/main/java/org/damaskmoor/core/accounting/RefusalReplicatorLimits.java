package org.damaskmoor.core.accounting;

import java.util.concurrent.TimeUnit;

/**
 * Bounds and times of a {@link RefusalReplicator}. Immutable and thread-safe.
 *
 * @param groupingNanoseconds how long refusals are gathered into one batch
 * @param silenceNanoseconds silence of a peer after which another is asked
 * @param gapNanoseconds longest wait of a refusal for a peer; then it is answered with a gap
 * @param probeNanoseconds pause before peers are asked again after a gap; doubles up to 32 times
 * @param waitingRefusals most refusals that wait for a peer
 * @param maximumKeys keys at which callers are folded
 */
public record RefusalReplicatorLimits(
        long groupingNanoseconds,
        long silenceNanoseconds,
        long gapNanoseconds,
        long probeNanoseconds,
        int waitingRefusals,
        int maximumKeys) {
    /** Limits that fit a node. */
    public static RefusalReplicatorLimits defaults() {
        return new RefusalReplicatorLimits(
                TimeUnit.MILLISECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(80),
                TimeUnit.MILLISECONDS.toNanos(250),
                TimeUnit.SECONDS.toNanos(1),
                16_384,
                4_096);
    }
}
