package org.damaskmoor.node.internal.target;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.SealRequest;

/**
 * Converts the deadlines of calls to the target's clock, and decides how long calls may be accepted
 * and must be remembered.
 *
 * <p>A call carries its deadline twice: as the time left when it was sent, which limits its time in
 * the queue, and as a time on the entry node's clock, which tells a late copy from one in time no
 * matter how long it was in transit. This node relates its two clocks once, at its start, so that
 * all copies of a call are treated alike. Times are nanoseconds of this node's monotonic clock.
 *
 * <p>Confined to the upstream event loop.
 */
final class TargetTiming {
    /** Maximum difference between the clocks of two VMs. */
    private static final long MAXIMUM_CLOCK_SKEW_MILLISECONDS = 5_000;

    private final LongSupplier clock;
    private final long epochStartNanoseconds;
    private final long keyRetentionNanoseconds;

    /**
     * Creates the timing of a target.
     *
     * @param clock the monotonic clock, in nanoseconds
     * @param epochMilliseconds the wall clock, in milliseconds since the epoch; read once
     * @param keyRetentionMilliseconds how long an idempotency key is remembered after its run
     */
    TargetTiming(
            LongSupplier clock, LongSupplier epochMilliseconds, long keyRetentionMilliseconds) {
        this.clock = clock;
        this.epochStartNanoseconds =
                clock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(epochMilliseconds.getAsLong());
        this.keyRetentionNanoseconds = TimeUnit.MILLISECONDS.toNanos(keyRetentionMilliseconds);
    }

    long now() {
        return clock.getAsLong();
    }

    /** When the answer of a call is no longer of use. */
    long deadline(Call call) {
        return now() + TimeUnit.MILLISECONDS.toNanos(call.getDeadlineMilliseconds());
    }

    /** The time after which no copy of the call may be accepted. */
    long acceptUntil(Call call) {
        return toMonotonic(call.getDeadlineEpochMilliseconds() + MAXIMUM_CLOCK_SKEW_MILLISECONDS);
    }

    /** When the ledger may forget a call, because no copy of it can be accepted any more. */
    long retainUntil(Call call) {
        long lastCopyExpired =
                toMonotonic(
                        call.getDeadlineEpochMilliseconds() + 2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS);
        boolean hasKey = call.getNonIdempotent() && !call.getIdempotencyKey().isEmpty();
        return hasKey ? lastCopyExpired + keyRetentionNanoseconds : lastCopyExpired;
    }

    /** When the ledger may forget a tombstone. */
    long retainUntil(SealRequest seal) {
        return toMonotonic(
                seal.getDeadlineEpochMilliseconds() + 2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS);
    }

    private long toMonotonic(long epoch) {
        return epochStartNanoseconds + TimeUnit.MILLISECONDS.toNanos(epoch);
    }
}
