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
 * Creates the components of a node that measure load; they share one set of counters.
 *
 * <p>Immutable and thread-safe; each created component is confined to the event loop of its user.
 */
public final class LoadMeasurementFactory {
    private final NodeSettings settings;
    private final MemberDirectory members;
    private final MeasurementCounters counters;
    private final LongSupplier clock;

    /**
     * Creates a factory for one node.
     *
     * @param settings the node's settings
     * @param metrics registry of the byte counters
     * @param members provides the regions of the other nodes
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

    /** Creates the report limiter of the target proxy. */
    public LoadReportLimiter createReportLimiter() {
        return new LoadReportLimiter(
                new NodeId(settings.getNodeId()),
                peer -> !members.isInRegion(peer, settings.getRegion()),
                settings.getMeasuringBytesPerSecond(),
                counters,
                clock);
    }

    /** Creates the prober of the entry proxy and starts its ticks. */
    public LoadProber startProber(EventLoopThread loop, TargetFrameSender frameSender) {
        LoadProber prober =
                new LoadProber(
                        new NodeId(settings.getNodeId()),
                        new RegionName(settings.getRegion()),
                        settings.getMeasuringBytesPerSecond(),
                        counters,
                        frameSender::send,
                        clock);
        loop.every(LoadProber.TICK_MILLISECONDS, prober::tick);
        return prober;
    }
}
