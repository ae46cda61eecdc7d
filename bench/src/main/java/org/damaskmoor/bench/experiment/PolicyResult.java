package org.damaskmoor.bench.experiment;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The result of one policy in one scenario.
 *
 * <p>Effectively immutable: nothing changes the histograms in the statistics.
 *
 * @param statistics outcomes and latencies of all calls
 * @param inTime those of the calls that ended before the load did
 * @param counters counters of nodes and upstreams during the measured load
 * @param seconds duration of the measured load
 * @param nodes number of nodes
 * @param slots concurrent requests that all upstreams together can run
 * @param loadAverage one-minute load average of the machine at the end
 */
record PolicyResult(
        String scenario,
        Policy policy,
        CallStatistics statistics,
        CallStatistics inTime,
        SiteCounters counters,
        double seconds,
        int nodes,
        int slots,
        double loadAverage) {
    private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    double milliseconds(double percentile) {
        return milliseconds(statistics.latencies(), percentile);
    }

    double lookupMilliseconds(double percentile) {
        return milliseconds(statistics.lookups(), percentile);
    }

    double bookingMilliseconds(double percentile) {
        return milliseconds(statistics.bookings(), percentile);
    }

    private static double milliseconds(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND;
    }

    /** Returns how many requests the upstreams could have run, given their mean service time. */
    double capacityRequests() {
        if (counters.served() == 0) {
            return 0;
        }
        double heldSeconds =
                counters.heldNanoseconds() / NANOSECONDS_PER_SECOND / counters.served();
        return slots * seconds / heldSeconds;
    }

    /** Returns the goodput: answers weighted by importance, as a share of the possible maximum. */
    double goodput() {
        return statistics.goodput(capacityRequests(), inTime);
    }

    /** Returns the number of attempts beyond the first of each call. */
    long retriesAndHedges() {
        return Math.max(0, counters.attempts() - statistics.sent());
    }

    double measuringBytesPerSecond() {
        return counters.measuringBytes() / seconds / nodes;
    }

    double paidLinkBytesPerSecond() {
        return counters.paidLinkBytes() / seconds;
    }

    double measuringBytesPerWeightedAnswer() {
        return (double) counters.measuringBytes() / Math.max(1, statistics.weightedAnswers());
    }

    double weightedAnswersPerSecond() {
        return statistics.weightedAnswers() / seconds;
    }
}
