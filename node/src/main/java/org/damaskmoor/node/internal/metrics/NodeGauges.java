package org.damaskmoor.node.internal.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.damaskmoor.mesh.gossip.GossipTraffic;
import org.damaskmoor.schema.gossip.GossipMessage.BodyCase;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.LoadReport;

/** Registers gauges, whose values are read when metrics are requested. Thread-safe. */
public final class NodeGauges {
    private final MetricRegistry registry;

    public NodeGauges(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Adds a gauge without labels. */
    public NodeGauges add(NodeMetric metric, Supplier<? extends Number> value) {
        register(metric.metricName(), value);
        return this;
    }

    /** Adds gauges of the load of this node's upstream. */
    public NodeGauges addLoad(Supplier<LoadReport> load) {
        add(NodeMetric.UPSTREAM_IN_FLIGHT, () -> load.get().getInFlight());
        add(NodeMetric.UPSTREAM_QUEUED, () -> load.get().getQueued());
        return add(NodeMetric.UPSTREAM_LIMIT, () -> load.get().getLimit());
    }

    /** Adds gauges of the known nodes by state. */
    public NodeGauges addMembers(java.util.function.ToLongFunction<MemberState> count) {
        for (MemberState state : new MemberState[] {MemberState.ALIVE, MemberState.SUSPECT}) {
            String name = state.name().toLowerCase(Locale.ROOT);
            register(NodeMetric.MEMBERS.withLabel("state", name), () -> count.applyAsLong(state));
        }
        return this;
    }

    /** Adds gauges of the gossip bytes sent by kind of message. */
    public NodeGauges addGossip(GossipTraffic traffic) {
        for (BodyCase kind : BodyCase.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
            register(NodeMetric.GOSSIP_SENT.withLabel("kind", name), () -> traffic.sentBytes(kind));
        }
        return this;
    }

    private void register(String name, Supplier<? extends Number> value) {
        registry.register(name, (Gauge<Number>) value::get);
    }
}
