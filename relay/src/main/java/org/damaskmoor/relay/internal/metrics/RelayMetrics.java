package org.damaskmoor.relay.internal.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counters, gauges and latency histograms of a relay, and their text format.
 *
 * <p>Thread-safe.
 */
public final class RelayMetrics {
    private static final long WINDOW_SECONDS = 60;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, LongSupplier> gauges = new java.util.concurrent.ConcurrentHashMap<>();

    /** Counts one event. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Counts one event of a kind. Each kind is a counter of its own, so there must be few. */
    public void count(String name, String kind) {
        registry.counter(name + "." + kind).inc();
    }

    /** Adds a duration to a histogram, in milliseconds. */
    public void recordDuration(String name, long milliseconds) {
        histogram(name).update(milliseconds);
    }

    /** Registers a gauge, whose value is read whenever metrics are rendered. */
    public void gauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    private Histogram histogram(String name) {
        return registry.histogram(
                name,
                () ->
                        new Histogram(
                                new SlidingTimeWindowArrayReservoir(
                                        WINDOW_SECONDS, TimeUnit.SECONDS)));
    }

    /** Renders all metrics, one a line. */
    public String render() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> line(text, name + "_total", counter.getCount()));
        gauges.forEach((name, value) -> line(text, name, value.getAsLong()));
        registry.getHistograms().forEach((name, histogram) -> lines(text, name, histogram));
        return text.toString();
    }

    private static void lines(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        line(text, name + "_count", histogram.getCount());
        for (double quantile : QUANTILES) {
            String label =
                    String.format(Locale.ROOT, "%s_milliseconds_p%.0f", name, 100 * quantile);
            line(text, label, Math.round(snapshot.getValue(quantile)));
        }
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("damaskmoor_")
                .append(name.replace('.', '_').replace('-', '_'))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
