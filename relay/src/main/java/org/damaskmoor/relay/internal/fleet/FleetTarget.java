package org.damaskmoor.relay.internal.fleet;

import java.util.OptionalDouble;
import org.damaskmoor.core.egress.EgressControl;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.placement.LoadSnapshot;
import org.damaskmoor.core.placement.TargetEstimate;
import org.damaskmoor.core.queueing.CallPacer;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.UpstreamState;

/** A node and its upstream, as an entry sees them. Confined to the event loop. */
public final class FleetTarget {
    private static final double PERCENT = 100;

    /** Time for which a report of exports counts; the entry that reports it keeps it up as long. */
    private static final long EXPORTING_MILLISECONDS = EgressControl.EXPORTING_MILLISECONDS;

    private final NodeId node;
    private final TargetEstimate estimate;
    private final CallLink link;
    private final LeavingUpstreams leavingUpstreams;
    private final long digest;
    private FleetMember member;
    private UpstreamState state = UpstreamState.SERVING;
    private OptionalDouble heardLimitPerSecond = OptionalDouble.empty();
    private long exportingUntil = Long.MIN_VALUE;

    FleetTarget(
            NodeId node,
            FleetMember member,
            TargetEstimate estimate,
            CallLink link,
            LeavingUpstreams leavingUpstreams) {
        this.leavingUpstreams = leavingUpstreams;
        this.node = node;
        this.member = member;
        this.digest =
                StableHash.of(node.value() + ' ' + member.getAddress() + ' ' + member.getService());
        this.estimate = estimate;
        this.link = link;
    }

    /** The node. */
    public NodeId node() {
        return node;
    }

    /** Digest of what does not change while the node keeps its address and service. */
    long digest() {
        return digest;
    }

    /** The load and speed that are expected of it. */
    public TargetEstimate estimate() {
        return estimate;
    }

    /** The link to it. */
    public CallLink link() {
        return link;
    }

    /** The latest known member record of the node. */
    public FleetMember member() {
        return member;
    }

    /** Region of the node; empty if its record tells none. */
    public String region() {
        return member.getRegion();
    }

    /** Data centre of the node; empty if its record tells none. */
    public String dataCentre() {
        return member.getDataCentre();
    }

    void member(FleetMember newRecord) {
        member = newRecord;
    }

    /** Whether its upstream accepts calls, by its last report. */
    public boolean isAcceptingCalls() {
        return state == UpstreamState.SERVING;
    }

    /** Assumes that the upstream accepts no calls until a load report says that it does. */
    public void markNotAccepting() {
        state = UpstreamState.LEAVING;
    }

    /**
     * The last request limit of its upstream that the target told, in calls a second. It is kept
     * while a restarted target does not know whether the upstream names one.
     */
    public OptionalDouble heardLimitPerSecond() {
        return heardLimitPerSecond;
    }

    /**
     * Whether the entry of the node lately sent calls of the service out of its data centre for
     * lack of room, by its last report.
     */
    public boolean isExporting(long now) {
        return now < exportingUntil;
    }

    /** The state that counts: a target that was restarted may not know that its upstream leaves. */
    private UpstreamState stateOf(TargetLoad load) {
        if (load.getUpstreamLeaving()) {
            leavingUpstreams.add(load.getUpstreamDigest());
        }
        boolean leaves =
                load.getState() == UpstreamState.SERVING
                        && leavingUpstreams.contains(load.getUpstreamDigest());
        return leaves ? UpstreamState.LEAVING : load.getState();
    }

    /** Records a load report of the target. */
    public void updateLoad(TargetLoad load, long now) {
        state = stateOf(load);
        exportingUntil = load.getExporting() ? now + EXPORTING_MILLISECONDS : Long.MIN_VALUE;
        OptionalDouble limitPerSecond =
                load.hasLimitPerSecond()
                        ? OptionalDouble.of(load.getLimitPerSecond())
                        : OptionalDouble.empty();
        OptionalDouble coldCallsPerSecond =
                load.hasColdCallsPerSecond()
                        ? OptionalDouble.of(load.getColdCallsPerSecond())
                        : OptionalDouble.empty();
        if (load.getLimitKnown()) {
            heardLimitPerSecond = limitPerSecond;
        }
        estimate.onLoadReport(
                new LoadSnapshot(
                        load.getRunning(),
                        load.getWaiting(),
                        load.getLimit(),
                        load.getSlownessPercent() / PERCENT,
                        load.getSteadySlownessPercent() / PERCENT,
                        load.getSlownessAgeMilliseconds(),
                        CallPacer.intervalMilliseconds(limitPerSecond),
                        load.getStartDelayMilliseconds(),
                        CallPacer.intervalMilliseconds(coldCallsPerSecond),
                        load.getColdRemainingMilliseconds()),
                now);
    }
}
