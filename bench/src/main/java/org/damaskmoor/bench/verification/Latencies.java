package org.damaskmoor.bench.verification;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/**
 * Latency percentiles of answered requests, measured from the due time of each request.
 *
 * <p>Not modified after construction; thread safe.
 */
public final class Latencies {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);

    public Latencies(List<CallRecord> records, Predicate<CallRecord> counted) {
        records.stream()
                .filter(line -> line.outcome() == Outcome.ANSWERED)
                .filter(counted)
                .forEach(line -> histogram.recordValue(line.latencyNanoseconds()));
    }

    /** Returns the latency at the percentile in milliseconds. */
    public double milliseconds(double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND;
    }
}
