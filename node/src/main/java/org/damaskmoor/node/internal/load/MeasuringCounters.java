package org.damaskmoor.node.internal.load;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.damaskmoor.core.load.MeasuringKind;

/**
 * Counts the bytes spent on measuring load, by kind, in all and over the paid link.
 *
 * <p>Thread-safe.
 */
public final class MeasuringCounters {
    private static final String ALL = "damaskmoor_measuring_bytes_total";
    private static final String PAID_LINK = "damaskmoor_paid_link_measuring_bytes_total";

    private final MetricRegistry registry;

    public MeasuringCounters(MetricRegistry registry) {
        this.registry = registry;
        for (MeasuringKind kind : MeasuringKind.values()) {
            registry.counter(name(ALL, kind));
            registry.counter(name(PAID_LINK, kind));
        }
    }

    /** Bytes were sent to a node of the own region. */
    void withinRegion(MeasuringKind kind, int bytes) {
        registry.counter(name(ALL, kind)).inc(bytes);
    }

    /** Bytes were sent to another region. */
    void overPaidLink(MeasuringKind kind, int bytes) {
        withinRegion(kind, bytes);
        registry.counter(name(PAID_LINK, kind)).inc(bytes);
    }

    private static String name(String metric, MeasuringKind kind) {
        return metric + "{kind=\"" + kind.name().toLowerCase(Locale.ROOT) + "\"}";
    }
}
