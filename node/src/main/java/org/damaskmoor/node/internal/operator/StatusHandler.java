package org.damaskmoor.node.internal.operator;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.damaskmoor.core.configuration.PeerConfigurationTracker.VersionStatus;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.damaskmoor.schema.operator.GetStatusResponse;
import org.damaskmoor.schema.operator.NodeStatus;
import org.damaskmoor.schema.operator.ServiceVersion;

/**
 * Handles operators' status calls: reports all nodes as this node sees them, and which of them hold
 * an older configuration.
 *
 * <p>Thread-safe: membership and configuration are read on the control event loop.
 */
public final class StatusHandler {
    private static final long PLATFORM_TIMEOUT_MILLISECONDS = 1_500;

    private final Executor control;
    private final MembershipProtocol membership;
    private final ConfigurationManager configuration;
    private final Supplier<LoadReport> ownLoad;
    private final Supplier<CompletableFuture<?>> platformProbe;

    /**
     * Creates the handler.
     *
     * @param control runs tasks on the control event loop
     * @param membership the known nodes; used on that loop only
     * @param configuration the configurations that the nodes hold; used on that loop only
     * @param ownLoad load of this node's upstream, from any thread
     * @param platformProbe fails if the platform's table service does not answer
     */
    public StatusHandler(
            Executor control,
            MembershipProtocol membership,
            ConfigurationManager configuration,
            Supplier<LoadReport> ownLoad,
            Supplier<CompletableFuture<?>> platformProbe) {
        this.control = control;
        this.membership = membership;
        this.configuration = configuration;
        this.ownLoad = ownLoad;
        this.platformProbe = platformProbe;
    }

    CompletableFuture<GetStatusResponse> status() {
        CompletableFuture<Boolean> reachable =
                platformProbe
                        .get()
                        .handle((answer, failure) -> failure == null)
                        .completeOnTimeout(
                                false, PLATFORM_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        return reachable.thenApplyAsync(this::response, control);
    }

    private GetStatusResponse response(boolean platformReachable) {
        GetStatusResponse.Builder response =
                GetStatusResponse.newBuilder()
                        .setAnsweringNode(membership.self().getNodeId())
                        .setPlatformReachable(platformReachable);
        membership.members().forEach(member -> response.addNodes(nodeStatus(member)));
        for (VersionedConfiguration held : configuration.all()) {
            response.addVersions(
                    ServiceVersion.newBuilder()
                            .setService(held.getService().getName())
                            .setVersion(held.getVersion()));
        }
        return response.build();
    }

    private NodeStatus nodeStatus(MemberRecord member) {
        boolean self = member.getNodeId().equals(membership.self().getNodeId());
        VersionStatus versionStatus =
                self
                        ? VersionStatus.SAME
                        : configuration.peers().statusOf(new NodeId(member.getNodeId()));
        NodeStatus.Builder status =
                NodeStatus.newBuilder()
                        .setNodeId(member.getNodeId())
                        .setRegion(member.getRegion())
                        .setDataCentre(member.getDataCentre())
                        .setService(member.getService())
                        .setMemberState(memberState(member))
                        .setUpstreamState(upstreamState(member))
                        .setBehind(versionStatus == VersionStatus.BEHIND)
                        .setConfiguration(lowerCase(versionStatus));
        if (self) {
            LoadReport load = ownLoad.get();
            status.setLoadKnown(true).setInFlight(load.getInFlight()).setLimit(load.getLimit());
        }
        return status.build();
    }

    private String memberState(MemberRecord member) {
        boolean present =
                member.getState() == MemberState.ALIVE || member.getState() == MemberState.SUSPECT;
        if (present && membership.isUnreachable(new RegionName(member.getRegion()))) {
            return "unreachable";
        }
        return lowerCase(member.getState());
    }

    private static String upstreamState(MemberRecord member) {
        UpstreamState state = UpstreamState.forNumber(member.getUpstreamState());
        boolean known = state != null && state.getNumber() != 0;
        return lowerCase(known ? state : UpstreamState.ABSENT);
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
