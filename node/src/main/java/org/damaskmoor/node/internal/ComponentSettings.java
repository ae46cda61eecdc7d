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
 * Derives the settings of each component of a node from the validated settings of the process.
 *
 * <p>Immutable and thread-safe.
 */
public final class ComponentSettings {
    private static final int MESH_QUEUE_FRAMES = 16_384;
    private static final int FRAME_OVERHEAD_BYTES = 256 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private final NodeSettings settings;
    private final Optional<NodeTls> tls;
    private final NodeOptions nodeOptions;

    public ComponentSettings(
            NodeSettings settings, Optional<NodeTls> tls, NodeOptions nodeOptions) {
        this.nodeOptions = nodeOptions;
        this.settings = settings;
        this.tls = tls;
    }

    /** The listen address for operators. */
    public InetSocketAddress operatorAddress() {
        return new InetSocketAddress(settings.getOperatorAddress(), settings.getOperatorPort());
    }

    /** TLS for operators, if configured. */
    public Optional<SslContext> operatorTls() {
        return tls.map(NodeTls::operators);
    }

    /** Settings of the mesh. */
    public MeshSettings mesh(Incarnation incarnation) {
        return new MeshSettings(
                new NodeId(settings.getNodeId()),
                incarnation,
                new InetSocketAddress(settings.getAddress(), settings.getMeshPort()),
                settings.getMaximumBodyBytes() + FRAME_OVERHEAD_BYTES,
                MESH_QUEUE_FRAMES,
                CONNECT_TIMEOUT,
                SILENCE_TIMEOUT,
                tls.map(NodeTls::mesh));
    }

    /** Settings of the entry proxy. */
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

    /** Limits of the target proxy. */
    public TargetLimits target() {
        return new TargetLimits(
                settings.getQueueLimit(),
                settings.getMaximumBodyBytes(),
                settings.getAnnouncementLeaseMilliseconds(),
                TimeUnit.SECONDS.toMillis(settings.getKeyRetentionSeconds()));
    }

    /** Creates the routing state of the entry proxy, which has no services yet. */
    public ServiceRuntimes runtimes(MemberDirectory members, LoadProber prober) {
        return new ServiceRuntimes(
                new RegionName(settings.getRegion()),
                new DataCentreName(settings.getDataCentre()),
                routing(prober),
                members,
                System::nanoTime,
                new SplittableRandom(),
                ServiceMatcher.of(List.of()));
    }

    private RoutingDefaults routing(LoadProber prober) {
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
                (service, router) -> prober.wrap(service, nodeOptions.observer().apply(router)));
    }

    /** The member record of this node at its start. */
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
