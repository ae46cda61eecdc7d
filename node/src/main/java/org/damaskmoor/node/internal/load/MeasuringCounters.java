package org.damaskmoor.node.internal.load;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.damaskmoor.core.load.MeasuringKind;
import org.damaskmoor.node.internal.metrics.NodeMetric;

/**
 * Counts the bytes spent on measuring load, by kind, in all and over the paid link.
 *
 * <p>Thread-safe.
 */
public final class MeasuringCounters {
    private final MetricRegistry registry;

    public MeasuringCounters(MetricRegistry registry) {
        this.registry = registry;
        for (MeasuringKind kind : MeasuringKind.values()) {
            registry.counter(name(NodeMetric.MEASURING_BYTES, kind));
            registry.counter(name(NodeMetric.PAID_LINK_MEASURING_BYTES, kind));
        }
    }

    /** Bytes were sent to a node of the own region. */
    void withinRegion(MeasuringKind kind, int bytes) {
        registry.counter(name(NodeMetric.MEASURING_BYTES, kind)).inc(bytes);
    }

    /** Bytes were sent to another region. */
    void overPaidLink(MeasuringKind kind, int bytes) {
        withinRegion(kind, bytes);
        registry.counter(name(NodeMetric.PAID_LINK_MEASURING_BYTES, kind)).inc(bytes);
    }

    private static String name(NodeMetric metric, MeasuringKind kind) {
        return metric.with("kind", kind.name().toLowerCase(Locale.ROOT));
    }
}
