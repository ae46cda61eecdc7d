package org.damaskmoor.core.accounting;

import java.util.concurrent.TimeUnit;

/**
 * Limits and timeouts of a {@link RefusalReplicator}. Immutable and thread-safe.
 *
 * @param groupingNanoseconds how long refusals are collected into one batch
 * @param silenceNanoseconds time without progress after which a peer is replaced
 * @param gapNanoseconds longest time that a refusal waits for a peer; then it is answered with a
 *     gap
 * @param probeNanoseconds pause before peers are tried again after a gap; doubles up to 32 times
 *     its value
 * @param waitingRefusals maximum number of refusals that wait for a peer
 * @param maximumKeys number of keys at which callers are folded
 */
public record RefusalReplicatorLimits(
        long groupingNanoseconds,
        long silenceNanoseconds,
        long gapNanoseconds,
        long probeNanoseconds,
        int waitingRefusals,
        int maximumKeys) {
    /** Returns the limits that nodes use. */
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
