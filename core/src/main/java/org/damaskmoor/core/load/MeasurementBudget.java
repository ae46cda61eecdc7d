package org.damaskmoor.core.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of bytes that a node spends on measuring load, and counts them by kind.
 *
 * <pre>{@code
 * if (budget.trySpend(MeasurementKind.PROBE, probe.getSerializedSize(), now)) {
 *     send(probe);
 * }
 * }</pre>
 *
 * <p>A token bucket. Probes may use only half of it; the rest is reserved for reports and
 * summaries, which carry more information per byte. Invariant: in any span of time, no more is
 * spent than the burst plus the rate times the span. Times are in nanoseconds of one monotonic
 * clock. Not thread-safe.
 */
public final class MeasurementBudget {
    /**
     * Budget for measuring load, out of the 3 KB per second that a node may use for control
     * traffic.
     */
    public static final long NODE_BYTES_PER_SECOND = 2048;

    /** One percent of a link of 30 Mbit/s, shared by the nodes of a region. */
    public static final long PAID_LINK_BYTES_PER_SECOND = 37_500;

    private static final long BURST_SECONDS = 1;
    private static final double SHARE_RESERVED_FOR_REPORTS = 0.5;
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long bytesPerSecond;
    private final double burstBytes;
    private final Map<MeasurementKind, Long> spentBytes = new EnumMap<>(MeasurementKind.class);
    private final Map<MeasurementKind, Long> deniedBytes = new EnumMap<>(MeasurementKind.class);
    private double tokens;
    private long refilledAtNanoseconds;

    /**
     * Creates a budget with a full bucket.
     *
     * @param bytesPerSecond the rate; 0 forbids all measurement traffic
     */
    public MeasurementBudget(long bytesPerSecond, long nowNanoseconds) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = (double) bytesPerSecond * BURST_SECONDS;
        this.tokens = burstBytes;
        this.refilledAtNanoseconds = nowNanoseconds;
    }

    /** Creates one node's share of the budget for the link that is billed by volume. */
    public static MeasurementBudget forPaidLink(int nodesInRegion, long nowNanoseconds) {
        long share = PAID_LINK_BYTES_PER_SECOND / Math.max(1, nodesInRegion);
        return new MeasurementBudget(share, nowNanoseconds);
    }

    /** Takes the bytes from the budget; when it returns false they must not be sent. */
    public boolean trySpend(MeasurementKind kind, int bytes, long nowNanoseconds) {
        refill(nowNanoseconds);
        double reserved =
                kind == MeasurementKind.PROBE ? SHARE_RESERVED_FOR_REPORTS * burstBytes : 0;
        if (tokens - bytes < reserved) {
            deniedBytes.merge(kind, (long) bytes, Long::sum);
            return false;
        }
        tokens -= bytes;
        spentBytes.merge(kind, (long) bytes, Long::sum);
        return true;
    }

    /** Total bytes spent on this kind. */
    public long spentBytes(MeasurementKind kind) {
        return spentBytes.getOrDefault(kind, 0L);
    }

    /** Total bytes of this kind that exceeded the budget. */
    public long deniedBytes(MeasurementKind kind) {
        return deniedBytes.getOrDefault(kind, 0L);
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        tokens = Math.min(burstBytes, tokens + seconds * bytesPerSecond);
        refilledAtNanoseconds = now;
    }
}
