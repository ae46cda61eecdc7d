package org.damaskmoor.node.internal.load;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.damaskmoor.core.load.MeasurementKind;
import org.damaskmoor.node.internal.metrics.NodeMetric;

/**
 * Counts the bytes spent on measuring load by kind, in total and over the paid link.
 *
 * <p>Thread-safe.
 */
public final class MeasurementCounters {
    private final MetricRegistry registry;

    public MeasurementCounters(MetricRegistry registry) {
        this.registry = registry;
        for (MeasurementKind kind : MeasurementKind.values()) {
            registry.counter(name(NodeMetric.MEASURING_BYTES, kind));
            registry.counter(name(NodeMetric.PAID_LINK_MEASURING_BYTES, kind));
        }
    }

    /** Counts bytes sent to a node of the own region. */
    void countWithinRegion(MeasurementKind kind, int bytes) {
        registry.counter(name(NodeMetric.MEASURING_BYTES, kind)).inc(bytes);
    }

    /** Counts bytes sent to another region. */
    void countOverPaidLink(MeasurementKind kind, int bytes) {
        countWithinRegion(kind, bytes);
        registry.counter(name(NodeMetric.PAID_LINK_MEASURING_BYTES, kind)).inc(bytes);
    }

    private static String name(NodeMetric metric, MeasurementKind kind) {
        return metric.withLabel("kind", kind.name().toLowerCase(Locale.ROOT));
    }
}
