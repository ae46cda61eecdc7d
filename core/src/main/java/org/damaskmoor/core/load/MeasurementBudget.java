package org.damaskmoor.core.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the bytes that a node spends on measuring load within a rate, and counts them by kind.
 *
 * <pre>{@code
 * if (budget.trySpend(MeasuringKind.PROBE, probe.getSerializedSize(), now)) {
 *     send(probe);
 * }
 * }</pre>
 *
 * <p>A token bucket. Probes leave half of it to reports and summaries, which say more for each
 * byte. Invariant: in any span of time no more is spent than the burst and the rate times the span.
 * Times are in nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class MeasurementBudget {
    /** Of the 3 KB a second that a node may use for control, what measuring load may take. */
    public static final long NODE_BYTES_PER_SECOND = 2048;

    /** A hundredth of a link of 30 Mbit/s, to be divided among the nodes of a region. */
    public static final long PAID_LINK_BYTES_PER_SECOND = 37_500;

    private static final long BURST_SECONDS = 1;
    private static final double SHARE_KEPT_FROM_PROBES = 0.5;
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long bytesPerSecond;
    private final double burstBytes;
    private final Map<MeasurementKind, Long> spentBytes = new EnumMap<>(MeasurementKind.class);
    private final Map<MeasurementKind, Long> deniedBytes = new EnumMap<>(MeasurementKind.class);
    private double tokens;
    private long filledAtNanoseconds;

    /**
     * A full bucket.
     *
     * @param bytesPerSecond the rate; 0 forbids all measuring
     */
    public MeasurementBudget(long bytesPerSecond, long nowNanoseconds) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = (double) bytesPerSecond * BURST_SECONDS;
        this.tokens = burstBytes;
        this.filledAtNanoseconds = nowNanoseconds;
    }

    /** The share of one node in the budget of the paid link. */
    public static MeasurementBudget forPaidLink(int nodesInRegion, long nowNanoseconds) {
        long share = PAID_LINK_BYTES_PER_SECOND / Math.max(1, nodesInRegion);
        return new MeasurementBudget(share, nowNanoseconds);
    }

    /** Spends the bytes if the budget allows; otherwise they must not be sent. */
    public boolean trySpend(MeasurementKind kind, int bytes, long nowNanoseconds) {
        fill(nowNanoseconds);
        double kept = kind == MeasurementKind.PROBE ? SHARE_KEPT_FROM_PROBES * burstBytes : 0;
        if (tokens - bytes < kept) {
            deniedBytes.merge(kind, (long) bytes, Long::sum);
            return false;
        }
        tokens -= bytes;
        spentBytes.merge(kind, (long) bytes, Long::sum);
        return true;
    }

    /** All bytes spent on this kind so far. */
    public long spentBytes(MeasurementKind kind) {
        return spentBytes.getOrDefault(kind, 0L);
    }

    /** All bytes of this kind that the budget did not allow. */
    public long deniedBytes(MeasurementKind kind) {
        return deniedBytes.getOrDefault(kind, 0L);
    }

    private void fill(long now) {
        double seconds = Math.max(0, now - filledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        tokens = Math.min(burstBytes, tokens + seconds * bytesPerSecond);
        filledAtNanoseconds = now;
    }
}
