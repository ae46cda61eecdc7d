package org.damaskmoor.node.internal.load;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.MeasurementBudget;
import org.damaskmoor.core.load.MeasurementKind;
import org.damaskmoor.core.load.ProbePlanner;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.schema.mesh.LoadProbe;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Probes targets for their load if no response has reported it for a while, within a byte budget.
 *
 * <pre>{@code
 * Router router = prober.wrap(service, Router.create(...));
 * loop.every(LoadProber.TICK_MILLISECONDS, prober::tick);
 * }</pre>
 *
 * <p>Confined to the caller event loop. Invariant: all services share one budget.
 */
public final class LoadProber {
    /** Interval at which to call {@link #tick}. */
    public static final long TICK_MILLISECONDS = 100;

    private final NodeId self;
    private final RegionName region;
    private final MeasurementBudget budget;
    private final MeasurementCounters counters;
    private final BiConsumer<NodeId, MeshFrame> sender;
    private final LongSupplier clock;
    private final Map<ServiceName, ProbePlanner> planners = new HashMap<>();
    private long lastProbeId;

    /**
     * Creates the prober of an entry node.
     *
     * @param self this node, which is never probed
     * @param region this node's region
     * @param bytesPerSecond the budget of all probes; 0 disables them
     * @param counters counts the bytes spent
     * @param sender sends a frame to a node
     * @param clock the monotonic clock, in nanoseconds
     */
    public LoadProber(
            NodeId self,
            RegionName region,
            long bytesPerSecond,
            MeasurementCounters counters,
            BiConsumer<NodeId, MeshFrame> sender,
            LongSupplier clock) {
        this.self = self;
        this.region = region;
        this.budget = new MeasurementBudget(bytesPerSecond, clock.getAsLong());
        this.counters = counters;
        this.sender = sender;
        this.clock = clock;
    }

    /** Wraps the router of a service to observe the load reports of its targets. */
    public Router wrap(ServiceName service, Router router) {
        ProbePlanner planner = new ProbePlanner(region, budget);
        planners.put(service, planner);
        return new ProbeTrackingRouter(router, planner, self);
    }

    /** Sends the probes that are due. */
    public void tick() {
        long now = clock.getAsLong();
        for (ProbePlanner planner : planners.values()) {
            for (TargetId target : planner.plan(now)) {
                counters.countWithinRegion(MeasurementKind.PROBE, ProbePlanner.PROBE_BYTES);
                sender.accept(target.node(), createProbe());
            }
        }
    }

    private MeshFrame createProbe() {
        return MeshFrame.newBuilder()
                .setLoadProbe(LoadProbe.newBuilder().setProbeId(++lastProbeId))
                .build();
    }
}
