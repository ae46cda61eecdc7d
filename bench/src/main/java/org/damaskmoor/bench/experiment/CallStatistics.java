package org.damaskmoor.bench.experiment;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/**
 * What callers experienced in one run.
 *
 * <p>Invariant: a request that was refused, failed or stayed unknown counts with {@link
 * #FAILURE_MILLISECONDS} in the latencies, so that a policy gains nothing by failing fast. Not
 * changed after construction; safe for all threads.
 */
final class CallStatistics {
    /** The latency that a request without a useful answer counts with. */
    static final long FAILURE_MILLISECONDS = 1000;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String USEFUL = "status-200";

    private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram lookups = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram bookings = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> reasons = new TreeMap<>();
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

    private void add(CallRecord line) {
        boolean useful = line.outcome() == Outcome.ANSWERED && line.reason().equals(USEFUL);
        long latency =
                useful
                        ? line.latencyNanoseconds()
                        : Math.max(
                                line.latencyNanoseconds(),
                                TimeUnit.MILLISECONDS.toNanos(FAILURE_MILLISECONDS));
        latencies.recordValue(latency);
        if (line.nonIdempotent()) {
            bookings.recordValue(latency);
            bookingsSent++;
            bookingsAnswered += useful ? 1 : 0;
        } else {
            lookups.recordValue(latency);
            lookupsSent++;
            lookupsAnswered += useful ? 1 : 0;
        }
        if (!useful) {
            reasons.merge(line.outcome() + ":" + line.reason(), 1L, Long::sum);
            addUseless(line.outcome());
        }
    }

    private void addUseless(Outcome outcome) {
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

    /** Returns how often requests ended without a useful answer, by outcome and reason. */
    Map<String, Long> failuresByReason() {
        return reasons;
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

    /** Returns the useful answers, each counted by its weight. */
    long weightedAnswers() {
        return lookupsAnswered * ExperimentService.LOOKUP_WEIGHT
                + bookingsAnswered * ExperimentService.BOOKING_WEIGHT;
    }

    /**
     * Returns the useful answers that came in time, weighted by importance, as a share of the best
     * that upstreams with this capacity can do: the most important requests first, then the others.
     *
     * @param inTime the part of this tally that ended while the load lasted
     */
    double goodput(double capacityRequests, CallStatistics inTime) {
        double bookingsPossible = Math.min((double) bookingsSent, capacityRequests);
        double lookupsPossible =
                Math.min((double) lookupsSent, capacityRequests - bookingsPossible);
        double possible = importance(lookupsPossible, bookingsPossible);
        double got = importance((double) inTime.lookupsAnswered, (double) inTime.bookingsAnswered);
        return possible == 0 ? 0 : got / possible;
    }

    private static double importance(double lookups, double bookingCount) {
        return lookups * ExperimentService.LOOKUP_IMPORTANCE
                + bookingCount * ExperimentService.BOOKING_IMPORTANCE;
    }
}
