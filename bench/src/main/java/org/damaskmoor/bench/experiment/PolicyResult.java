package org.damaskmoor.bench.experiment;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * What one policy gave in one scenario.
 *
 * <p>Immutable, but for the histograms in the tallies, which nobody changes.
 *
 * @param tally what callers experienced
 * @param inTime the part of it that ended while the load lasted
 * @param counters what nodes and upstreams counted meanwhile
 * @param seconds length of the measured load
 * @param nodes number of nodes
 * @param slots slots of all upstreams together
 * @param loadAverage of the machine at the end, over a minute
 */
record PolicyResult(
        String scenario,
        Policy policy,
        CallStatistics tally,
        CallStatistics inTime,
        SiteCounters counters,
        double seconds,
        int nodes,
        int slots,
        double loadAverage) {
    private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    double milliseconds(double percentile) {
        return milliseconds(tally.latencies(), percentile);
    }

    double lookupMilliseconds(double percentile) {
        return milliseconds(tally.lookups(), percentile);
    }

    double bookingMilliseconds(double percentile) {
        return milliseconds(tally.bookings(), percentile);
    }

    private static double milliseconds(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND;
    }

    /** Returns the requests that the upstreams could have run, by the times that they did take. */
    double capacityRequests() {
        if (counters.served() == 0) {
            return 0;
        }
        double heldSeconds =
                counters.heldNanoseconds() / NANOSECONDS_PER_SECOND / counters.served();
        return slots * seconds / heldSeconds;
    }

    /** Returns the answers weighted by importance as a share of what was possible. */
    double goodput() {
        return tally.goodput(capacityRequests(), inTime);
    }

    /** Returns retries and hedges. */
    long retriesAndHedges() {
        return Math.max(0, counters.attempts() - tally.sent());
    }

    double measuringBytesPerSecond() {
        return counters.measuringBytes() / seconds / nodes;
    }

    double paidLinkBytesPerSecond() {
        return counters.paidLinkBytes() / seconds;
    }

    double measuringBytesPerWeightedAnswer() {
        return (double) counters.measuringBytes() / Math.max(1, tally.weightedAnswers());
    }

    double weightedAnswersPerSecond() {
        return tally.weightedAnswers() / seconds;
    }
}
