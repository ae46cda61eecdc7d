package org.damaskmoor.node.internal.load;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.node.internal.entry.TargetFrameSender;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.settings.NodeSettings;

/**
 * Makes the parts of a node that measure load, all of which count with the same counters.
 *
 * <p>Immutable and thread-safe; what it makes belongs to one duty each.
 */
public final class LoadMeasurementFactory {
    private final NodeSettings settings;
    private final MemberDirectory members;
    private final MeasurementCounters counters;
    private final LongSupplier clock;

    /**
     * Measuring of one node.
     *
     * @param settings its settings
     * @param metrics where bytes are counted
     * @param members says which nodes stand in other regions
     * @param clock the monotonic clock, in nanoseconds
     */
    public LoadMeasurementFactory(
            NodeSettings settings,
            MetricRegistry metrics,
            MemberDirectory members,
            LongSupplier clock) {
        this.settings = settings;
        this.members = members;
        this.counters = new MeasurementCounters(metrics);
        this.clock = clock;
    }

    /** The reports of the target part. */
    public LoadReportLimiter createReportLimiter() {
        return new LoadReportLimiter(
                new NodeId(settings.getNodeId()),
                peer -> !members.isInRegion(peer, settings.getRegion()),
                settings.getMeasuringBytesPerSecond(),
                counters,
                clock);
    }

    /** The probes of the entry part, which are sent from now on. */
    public LoadProber startProber(EventLoopThread loop, TargetFrameSender carrier) {
        LoadProber probes =
                new LoadProber(
                        new NodeId(settings.getNodeId()),
                        new RegionName(settings.getRegion()),
                        settings.getMeasuringBytesPerSecond(),
                        counters,
                        carrier::send,
                        clock);
        loop.every(LoadProber.TICK_MILLISECONDS, probes::tick);
        return probes;
    }
}
