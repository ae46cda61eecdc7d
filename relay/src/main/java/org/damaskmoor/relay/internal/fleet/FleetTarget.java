package org.damaskmoor.relay.internal.fleet;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.placement.LoadSnapshot;
import org.damaskmoor.core.placement.TargetEstimate;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.UpstreamState;

/** One node with its upstream, as an entry sees it. Confined to the event loop. */
public final class FleetTarget {
    private static final double PERCENT = 100;

    private final NodeId node;
    private final TargetEstimate estimate;
    private final CallLink link;
    private FleetMember member;
    private UpstreamState state = UpstreamState.SERVING;

    FleetTarget(NodeId node, FleetMember member, TargetEstimate estimate, CallLink link) {
        this.node = node;
        this.member = member;
        this.estimate = estimate;
        this.link = link;
    }

    /** The node. */
    public NodeId node() {
        return node;
    }

    /** What is expected of it. */
    public TargetEstimate estimate() {
        return estimate;
    }

    /** The way to it. */
    public CallLink link() {
        return link;
    }

    /** Its own record. */
    public FleetMember member() {
        return member;
    }

    void member(FleetMember newer) {
        member = newer;
    }

    /** Whether its upstream takes calls, as far as it is known. */
    public boolean isAcceptingCalls() {
        return state == UpstreamState.SERVING;
    }

    /** Its upstream does not take calls until it says so again. */
    public void markNotAccepting() {
        state = UpstreamState.LEAVING;
    }

    /** It told its load. */
    public void updateLoad(TargetLoad load, long now) {
        state = load.getState();
        estimate.onLoadReport(
                new LoadSnapshot(
                        load.getRunning(),
                        load.getWaiting(),
                        load.getLimit(),
                        load.getSlownessPercent() / PERCENT,
                        load.getSteadySlownessPercent() / PERCENT,
                        load.getSlownessAgeMilliseconds()),
                now);
    }
}
