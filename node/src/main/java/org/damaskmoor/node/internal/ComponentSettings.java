package org.damaskmoor.node.internal;

import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.mesh.MeshSettings;
import org.damaskmoor.node.NodeOptions;
import org.damaskmoor.node.internal.entry.EntryLimits;
import org.damaskmoor.node.internal.entry.EntryProxy.EntrySettings;
import org.damaskmoor.node.internal.entry.ServiceRuntimes;
import org.damaskmoor.node.internal.entry.ServiceRuntimes.RoutingDefaults;
import org.damaskmoor.node.internal.http.CallerLimits;
import org.damaskmoor.node.internal.load.LoadProber;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.security.NodeTls;
import org.damaskmoor.node.internal.target.TargetProxy.TargetLimits;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.settings.NodeSettings;

/**
 * What each part of a node is set to, made from the checked settings of the process.
 *
 * <p>Immutable and thread-safe.
 */
public final class ComponentSettings {
    private static final int MESH_RING_FRAMES = 16_384;
    private static final int FRAME_OVERHEAD_BYTES = 256 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private final NodeSettings settings;
    private final Optional<NodeTls> security;
    private final NodeOptions nodeOptions;

    public ComponentSettings(
            NodeSettings settings, Optional<NodeTls> security, NodeOptions nodeOptions) {
        this.nodeOptions = nodeOptions;
        this.settings = settings;
        this.security = security;
    }

    /** Where operators connect to. */
    public InetSocketAddress operatorAddress() {
        return new InetSocketAddress(settings.getOperatorAddress(), settings.getOperatorPort());
    }

    /** TLS towards operators. */
    public Optional<SslContext> operatorSecurity() {
        return security.map(NodeTls::operators);
    }

    /** The mesh's part. */
    public MeshSettings mesh(Incarnation incarnation) {
        return new MeshSettings(
                new NodeId(settings.getNodeId()),
                incarnation,
                new InetSocketAddress(settings.getAddress(), settings.getMeshPort()),
                settings.getMaximumBodyBytes() + FRAME_OVERHEAD_BYTES,
                MESH_RING_FRAMES,
                CONNECT_TIMEOUT,
                SILENCE_TIMEOUT,
                security.map(NodeTls::mesh));
    }

    /** The entry part. */
    public EntrySettings entry() {
        EntryLimits limits =
                new EntryLimits(
                        settings.getOpenRequests(),
                        settings.getDefaultTimeoutMilliseconds(),
                        settings.getAcceptanceTimeoutMilliseconds());
        return new EntrySettings(
                limits,
                new InetSocketAddress(settings.getAddress(), settings.getHttpPort()),
                new CallerLimits(
                        settings.getMaximumBodyBytes(),
                        settings.getConnections(),
                        settings.getConnectionsPerCaller()),
                Duration.ofMillis(settings.getDrainTimeoutMilliseconds()));
    }

    /** The target part. */
    public TargetLimits target() {
        return new TargetLimits(
                settings.getQueueLimit(),
                settings.getMaximumBodyBytes(),
                settings.getAnnouncementLeaseMilliseconds(),
                TimeUnit.SECONDS.toMillis(settings.getKeyRetentionSeconds()));
    }

    /** The services that callers of this node use, none yet. */
    public ServiceRuntimes runtimes(MemberDirectory members, LoadProber probes) {
        return new ServiceRuntimes(
                new RegionName(settings.getRegion()),
                new DataCentreName(settings.getDataCentre()),
                routing(probes),
                members,
                System::nanoTime,
                new SplittableRandom(),
                ServiceMatcher.of(List.of()));
    }

    private RoutingDefaults routing(LoadProber probes) {
        RoutingOptions options =
                new RoutingOptions(
                        settings.getSampledCandidates(),
                        RoutingOptions.DEFAULT.slowStartNanoseconds(),
                        nodeOptions.ejection() ? RoutingOptions.DEFAULT.ejectedPercent() : 0);
        return new RoutingDefaults(
                options,
                settings.getRetryBudgetPercent(),
                nodeOptions.policy(),
                nodeOptions.furtherAttempts(),
                (service, router) -> probes.wrap(service, nodeOptions.observer().apply(router)));
    }

    /** What other nodes are told of this one at its start. */
    public MemberRecord self(Incarnation incarnation) {
        return MemberRecord.newBuilder()
                .setNodeId(settings.getNodeId())
                .setIncarnation(incarnation.value())
                .setState(MemberState.ALIVE)
                .setRegion(settings.getRegion())
                .setDataCentre(settings.getDataCentre())
                .setAddress(settings.getAddress())
                .setMeshPort(settings.getMeshPort())
                .setGossipPort(settings.getGossipPort())
                .build();
    }
}
