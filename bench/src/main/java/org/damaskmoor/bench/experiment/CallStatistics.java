package org.damaskmoor.bench.experiment;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/**
 * Outcomes and latencies of the calls of one run.
 *
 * <p>Invariant: a request that is refused, fails or has an unknown outcome counts with at least
 * {@link #FAILURE_MILLISECONDS} in the latencies, so that a policy gains nothing by failing fast.
 * Not changed after construction; thread-safe.
 */
final class CallStatistics {
    /** Minimum latency that a request without a successful answer counts with. */
    static final long FAILURE_MILLISECONDS = 1000;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String SUCCESS_REASON = "status-200";

    private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram lookups = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram bookings = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> failuresByReason = new TreeMap<>();
    private long lookupsSent;
    private long bookingsSent;
    private long lookupsAnswered;
    private long bookingsAnswered;
    private long refused;
    private long failed;
    private long unknown;

    CallStatistics(List<CallRecord> records) {
        records.forEach(this::add);
    }

    private void add(CallRecord call) {
        boolean successful =
                call.outcome() == Outcome.ANSWERED && call.reason().equals(SUCCESS_REASON);
        long latency =
                successful
                        ? call.latencyNanoseconds()
                        : Math.max(
                                call.latencyNanoseconds(),
                                TimeUnit.MILLISECONDS.toNanos(FAILURE_MILLISECONDS));
        latencies.recordValue(latency);
        if (call.nonIdempotent()) {
            bookings.recordValue(latency);
            bookingsSent++;
            bookingsAnswered += successful ? 1 : 0;
        } else {
            lookups.recordValue(latency);
            lookupsSent++;
            lookupsAnswered += successful ? 1 : 0;
        }
        if (!successful) {
            failuresByReason.merge(call.outcome() + ":" + call.reason(), 1L, Long::sum);
            addFailure(call.outcome());
        }
    }

    private void addFailure(Outcome outcome) {
        switch (outcome) {
            case ANSWERED -> failed++;
            case REFUSED -> refused++;
            default -> unknown++;
        }
    }

    Histogram latencies() {
        return latencies;
    }

    Histogram lookups() {
        return lookups;
    }

    Histogram bookings() {
        return bookings;
    }

    long sent() {
        return lookupsSent + bookingsSent;
    }

    long answered() {
        return lookupsAnswered + bookingsAnswered;
    }

    /** Returns the number of requests without a successful answer, by outcome and reason. */
    Map<String, Long> failuresByReason() {
        return failuresByReason;
    }

    long refused() {
        return refused;
    }

    long failed() {
        return failed;
    }

    long unknown() {
        return unknown;
    }

    /** Returns the successful answers, each counted by its weight. */
    long weightedAnswers() {
        return lookupsAnswered * ExperimentService.LOOKUP_WEIGHT
                + bookingsAnswered * ExperimentService.BOOKING_WEIGHT;
    }

    /**
     * Returns the successful answers in time, weighted by importance, as a share of the maximum
     * that upstreams of this capacity can reach by running the most important requests first.
     *
     * @param capacityRequests how many requests the upstreams can run during the load
     * @param inTime statistics of the calls that ended before the load did
     */
    double goodput(double capacityRequests, CallStatistics inTime) {
        double maxBookings = Math.min((double) bookingsSent, capacityRequests);
        double maxLookups = Math.min((double) lookupsSent, capacityRequests - maxBookings);
        double maximum = importance(maxLookups, maxBookings);
        double achieved =
                importance((double) inTime.lookupsAnswered, (double) inTime.bookingsAnswered);
        return maximum == 0 ? 0 : achieved / maximum;
    }

    private static double importance(double lookups, double bookingCount) {
        return lookups * ExperimentService.LOOKUP_IMPORTANCE
                + bookingCount * ExperimentService.BOOKING_IMPORTANCE;
    }
}
