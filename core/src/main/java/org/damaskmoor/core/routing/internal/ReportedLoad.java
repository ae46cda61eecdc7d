package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * The last load report of one target, discounted by its age towards the mean of its region.
 *
 * <p>Invariant: the limit is at least 1. Not thread-safe.
 */
final class ReportedLoad {
    /** Age at which half of the heard load counts. */
    private static final double LOAD_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age at which half of the heard service time counts. */
    private static final double LATENCY_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Age at which half of the heard failures count. */
    private static final double FAILURE_HALF_AGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Age at which the heard limit counts half, and the announced capacity the other half. */
    private static final double LIMIT_HALF_AGE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private static final double NANOSECONDS_PER_MICROSECOND = 1000;

    private final RegionAverages prior;
    private final int capacity;
    private int limit;
    private double loadOfOthers;
    private double latencyNanoseconds;
    private double failureRate;
    private long heardAtNanoseconds;
    private boolean heard;

    ReportedLoad(RegionAverages prior, int capacity) {
        this.prior = prior;
        this.capacity = capacity;
        this.limit = capacity;
    }

    /** Takes over a report; one without a limit is empty and says nothing. */
    void onReport(LoadReport report, int ownInFlight, long now) {
        if (report.getLimit() == 0) {
            return;
        }
        limit = report.getLimit();
        loadOfOthers = Math.max(0, report.getInFlight() + report.getQueued() - ownInFlight);
        latencyNanoseconds = report.getLatencyMicroseconds() * NANOSECONDS_PER_MICROSECOND;
        failureRate = report.getFailuresPerThousand() / 1000.0;
        heardAtNanoseconds = now;
        heard = true;
        prior.addSample(loadOfOthers / report.getLimit(), latencyNanoseconds);
    }

    double limit(long now) {
        return capacity + weight(LIMIT_HALF_AGE_NANOSECONDS, now) * (limit - capacity);
    }

    double loadOfOthers(long now) {
        double expected = prior.occupancyOfOthers() * limit(now);
        return expected + weight(LOAD_HALF_AGE_NANOSECONDS, now) * (loadOfOthers - expected);
    }

    double latencyNanoseconds(long now) {
        double expected = prior.latencyNanoseconds();
        if (latencyNanoseconds <= 0) {
            return expected;
        }
        return expected
                + weight(LATENCY_HALF_AGE_NANOSECONDS, now) * (latencyNanoseconds - expected);
    }

    double failureRate(long now) {
        return failureRate == 0 ? 0 : failureRate * weight(FAILURE_HALF_AGE_NANOSECONDS, now);
    }

    /** Falls slowly while a report is fresh and fast once it is older than its half age. */
    private double weight(double halfAge, long now) {
        if (!heard) {
            return 0;
        }
        double age = Math.max(0, now - heardAtNanoseconds);
        double relativeAge = age / halfAge;
        return 1 / (1 + relativeAge * relativeAge);
    }
}
