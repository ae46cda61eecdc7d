package org.damaskmoor.node.internal.target;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.SealRequest;

/**
 * The target's clocks, and how long calls are judged and kept.
 *
 * <p>A call carries its deadline twice: as the time left when it was sent, by which it is queued,
 * and by the entry node's clock, by which a copy that comes late is told from one in time whatever
 * it went through on the way. The two clocks of this node are tied once, at its start, so that all
 * copies of a call are judged alike. Times are nanoseconds of this node's monotonic clock.
 *
 * <p>Confined to the upstream event loop.
 */
final class TargetTiming {
    /** How far the clocks of two VMs may differ. */
    private static final long CLOCK_SKEW_MILLISECONDS = 5_000;

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

    /** When the answer of a call is of no use any more. */
    long deadline(Call call) {
        return now() + TimeUnit.MILLISECONDS.toNanos(call.getDeadlineMilliseconds());
    }

    /** The time after which no copy of the call may be accepted. */
    long acceptUntil(Call call) {
        return onOwnClock(call.getDeadlineEpochMilliseconds() + CLOCK_SKEW_MILLISECONDS);
    }

    /** When the ledger may forget a call: no copy of it can be accepted any more. */
    long retainUntil(Call call) {
        long safe = onOwnClock(call.getDeadlineEpochMilliseconds() + 2 * CLOCK_SKEW_MILLISECONDS);
        boolean keyed = call.getNonIdempotent() && !call.getIdempotencyKey().isEmpty();
        return keyed ? safe + keyRetentionNanoseconds : safe;
    }

    /** When the ledger may forget a tombstone. */
    long retainUntil(SealRequest seal) {
        return onOwnClock(seal.getDeadlineEpochMilliseconds() + 2 * CLOCK_SKEW_MILLISECONDS);
    }

    private long onOwnClock(long epoch) {
        return epochStartNanoseconds + TimeUnit.MILLISECONDS.toNanos(epoch);
    }
}
