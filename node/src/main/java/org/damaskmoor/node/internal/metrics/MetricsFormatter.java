package org.damaskmoor.node.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Formats all metrics as Prometheus text or JSON.
 *
 * <p>Thread-safe.
 */
public final class MetricsFormatter {
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final MetricRegistry registry;

    public MetricsFormatter(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the metrics in Prometheus' text format; times in seconds. */
    public String toPrometheusText() {
        StringBuilder text = new StringBuilder();
        for (NodeMetric metric : NodeMetric.values()) {
            text.append("# HELP ").append(metric.metricName()).append(' ');
            text.append(metric.description()).append("\n# TYPE ").append(metric.metricName());
            text.append(' ').append(metric.kind().name().toLowerCase(Locale.ROOT)).append('\n');
            appendValues(text, metric);
        }
        return text.toString();
    }

    private void appendValues(StringBuilder text, NodeMetric metric) {
        MetricFilter filter = (name, each) -> isOf(metric, name);
        registry.getCounters(filter)
                .forEach((name, counter) -> appendLine(text, name, counter.getCount()));
        registry.getGauges(filter)
                .forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
        registry.getTimers(filter).forEach((name, timer) -> timer(text, name, timer));
    }

    private static boolean isOf(NodeMetric metric, String name) {
        int labels = name.indexOf('{');
        return metric.metricName().equals(labels < 0 ? name : name.substring(0, labels));
    }

    /** Returns the metrics as one JSON object; times in seconds. */
    public String toJson() {
        JsonObject json = new JsonObject();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            json.addProperty(entry.getKey(), entry.getValue().getCount());
        }
        for (Map.Entry<String, Meter> entry : registry.getMeters().entrySet()) {
            json.addProperty(entry.getKey(), entry.getValue().getCount());
        }
        for (Map.Entry<String, Gauge> entry : registry.getGauges().entrySet()) {
            json.addProperty(entry.getKey(), (Number) entry.getValue().getValue());
        }
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            json.add(entry.getKey(), timer(entry.getValue()));
        }
        return json.toString();
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void timer(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        appendLine(text, name + "_count", timer.getCount());
        appendLine(text, name + "{quantile=\"0.5\"}", seconds(snapshot.getMedian()));
        appendLine(text, name + "{quantile=\"0.99\"}", seconds(snapshot.get99thPercentile()));
        appendLine(text, name + "{quantile=\"0.999\"}", seconds(snapshot.get999thPercentile()));
    }

    private static JsonObject timer(Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        JsonObject json = new JsonObject();
        json.addProperty("count", timer.getCount());
        json.addProperty("p50", seconds(snapshot.getMedian()));
        json.addProperty("p99", seconds(snapshot.get99thPercentile()));
        json.addProperty("p999", seconds(snapshot.get999thPercentile()));
        return json;
    }

    private static double seconds(double nanoseconds) {
        return nanoseconds / NANOSECONDS_PER_SECOND;
    }
}
