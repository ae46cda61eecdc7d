package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * The last load report of one target, which decays with age towards the average of its region.
 *
 * <p>Invariant: the limit is at least 1. Not thread-safe.
 */
final class ReportedLoad {
    /** Age at which the reported load has half its weight. */
    private static final double LOAD_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age at which the reported service time has half its weight. */
    private static final double LATENCY_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Age at which the reported failure rate has half its weight. */
    private static final double FAILURE_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age at which the reported limit and the announced capacity have equal weight. */
    private static final double LIMIT_HALF_AGE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final double NANOSECONDS_PER_MICROSECOND = 1000;

    private final RegionAverages averages;
    private final int capacity;
    private int limit;
    private double loadOfOthers;
    private double latencyNanoseconds;
    private double failureRate;
    private long reportedAtNanoseconds;
    private boolean reported;

    ReportedLoad(RegionAverages averages, int capacity) {
        this.averages = averages;
        this.capacity = capacity;
        this.limit = capacity;
    }

    /** Stores a load report. A report without a limit is empty and is ignored. */
    void onReport(LoadReport report, int ownInFlight, long now) {
        if (report.getLimit() == 0) {
            return;
        }
        limit = report.getLimit();
        loadOfOthers = Math.max(0, report.getInFlight() + report.getQueued() - ownInFlight);
        latencyNanoseconds = report.getLatencyMicroseconds() * NANOSECONDS_PER_MICROSECOND;
        failureRate = report.getFailuresPerThousand() / 1000.0;
        reportedAtNanoseconds = now;
        reported = true;
        averages.addSample(loadOfOthers / report.getLimit(), latencyNanoseconds);
    }

    double limit(long now) {
        return capacity + weight(LIMIT_HALF_AGE_NANOSECONDS, now) * (limit - capacity);
    }

    double loadOfOthers(long now) {
        double expected = averages.occupancyOfOthers() * limit(now);
        return expected + weight(LOAD_HALF_AGE_NANOSECONDS, now) * (loadOfOthers - expected);
    }

    double latencyNanoseconds(long now) {
        double expected = averages.latencyNanoseconds();
        if (latencyNanoseconds <= 0) {
            return expected;
        }
        return expected
                + weight(LATENCY_HALF_AGE_NANOSECONDS, now) * (latencyNanoseconds - expected);
    }

    double failureRate(long now) {
        return failureRate == 0 ? 0 : failureRate * weight(FAILURE_HALF_AGE_NANOSECONDS, now);
    }

    /**
     * Weight of the report: declines slowly while the report is younger than {@code halfAge} and
     * quickly after that.
     */
    private double weight(double halfAge, long now) {
        if (!reported) {
            return 0;
        }
        double age = Math.max(0, now - reportedAtNanoseconds);
        double relativeAge = age / halfAge;
        return 1 / (1 + relativeAge * relativeAge);
    }
}
