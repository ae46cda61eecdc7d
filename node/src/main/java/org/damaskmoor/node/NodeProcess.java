package org.damaskmoor.node;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.configuration.ServiceTable;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.NettyMeshTransport;
import org.damaskmoor.mesh.gossip.GossipTransport;
import org.damaskmoor.node.internal.ComponentSettings;
import org.damaskmoor.node.internal.accounting.AccountingFactory;
import org.damaskmoor.node.internal.accounting.AccountingManager;
import org.damaskmoor.node.internal.accounting.ServiceLevelRecorder;
import org.damaskmoor.node.internal.claims.TableClaimService;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.node.internal.control.ControlServer;
import org.damaskmoor.node.internal.entry.EntryDependencies;
import org.damaskmoor.node.internal.entry.EntryProxy;
import org.damaskmoor.node.internal.entry.MeshFrameSender;
import org.damaskmoor.node.internal.entry.ServiceRuntimes;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.node.internal.load.LoadMeasurementFactory;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.members.MembershipManager;
import org.damaskmoor.node.internal.members.SeedNodeRegistry;
import org.damaskmoor.node.internal.mesh.FrameHandlers;
import org.damaskmoor.node.internal.mesh.FrameRouter;
import org.damaskmoor.node.internal.mesh.LoopbackLink;
import org.damaskmoor.node.internal.metrics.MetricsFormatter;
import org.damaskmoor.node.internal.metrics.NodeGauges;
import org.damaskmoor.node.internal.metrics.NodeMetric;
import org.damaskmoor.node.internal.metrics.NodeMetrics;
import org.damaskmoor.node.internal.operator.OperatorDependencies;
import org.damaskmoor.node.internal.operator.OperatorServer;
import org.damaskmoor.node.internal.security.NodeTls;
import org.damaskmoor.node.internal.shutdown.GracefulShutdown;
import org.damaskmoor.node.internal.shutdown.ShutdownSteps;
import org.damaskmoor.node.internal.target.CrashDetector;
import org.damaskmoor.node.internal.target.TargetProxy;
import org.damaskmoor.node.internal.target.TargetProxy.UpstreamStatus;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.platform.PlatformClientLimits;
import org.damaskmoor.platform.PlatformServiceTable;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.mesh.LoadProbeAnswer;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.settings.NodeSettings;

/**
 * One node: the process that runs beside an upstream VM, with all of its components.
 *
 * <pre>{@code
 * NodeProcess node = new NodeProcess(settings, Optional.empty(), ChannelCustomizer.NONE);
 * node.start().join();
 * node.stop().join();
 * }</pre>
 *
 * <p>Thread-safe. Invariant: each component is confined to one event loop; components exchange
 * messages through bounded mailboxes or tasks on each other's event loops.
 */
public final class NodeProcess {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeSettings settings;
    private final ComponentSettings parameters;
    private final NodeId self;
    private final EventLoopThread callerLoop = new EventLoopThread("callers");
    private final EventLoopThread upstreamLoop = new EventLoopThread("upstream");
    private final EventLoopThread controlLoop = new EventLoopThread("control");
    private final EventLoopThread accountingLoop = new EventLoopThread("accounting");
    private final MetricRegistry metrics = new MetricRegistry();
    private final MemberDirectory members = new MemberDirectory();
    private final LoadMeasurementFactory loads;
    private final PlatformClient platform;
    private final NettyMeshTransport mesh;
    private final GossipTransport gossip;
    private final AccountingManager accounting;
    private final EntryProxy entry;
    private final CrashDetector crashDetector;
    private final TargetProxy target;
    private final ConfigurationManager configuration;
    private final MembershipManager membership;
    private final ControlServer control;
    private final OperatorServer operators;
    private volatile boolean stopping;

    /**
     * Creates a node that is not started.
     *
     * @param settings validated settings
     * @param tls TLS for other nodes and operators, or empty for none
     * @param customizer customizes each channel to other nodes before it is used
     */
    public NodeProcess(NodeSettings settings, Optional<NodeTls> tls, ChannelCustomizer customizer) {
        this(settings, tls, customizer, NodeOptions.PRODUCT);
    }

    /** Creates a node with options for benchmarks. */
    public NodeProcess(
            NodeSettings settings,
            Optional<NodeTls> tls,
            ChannelCustomizer customizer,
            NodeOptions options) {
        this.settings = settings;
        this.loads = new LoadMeasurementFactory(settings, metrics, members, System::nanoTime);
        this.parameters = new ComponentSettings(settings, tls, options);
        this.self = new NodeId(settings.getNodeId());
        Incarnation incarnation = new Incarnation(System.currentTimeMillis());
        platform = new PlatformClient(PlatformClientLimits.defaults(), new SplittableRandom());
        TableService tables = platform.tableService(URI.create(settings.getTableServiceUrl()));
        ServiceTable serviceTable = new PlatformServiceTable(tables);
        mesh =
                new NettyMeshTransport(
                        parameters.mesh(incarnation), new FrameRouter(handlers()), customizer);
        gossip =
                new GossipTransport(
                        new InetSocketAddress(settings.getAddress(), settings.getGossipPort()),
                        this::onDatagram,
                        customizer);
        accounting =
                AccountingFactory.create(
                        settings, incarnation, callerLoop, accountingLoop, members, mesh, platform);
        crashDetector = new CrashDetector(self, incarnation, System::nanoTime, this::broadcast);
        target = createTargetProxy(incarnation);
        entry = createEntryProxy(incarnation);
        configuration =
                new ConfigurationManager(
                        controlLoop::execute,
                        members,
                        mesh,
                        serviceTable,
                        version -> membership().protocol().broadcast(version),
                        this::onConfiguration);
        membership =
                new MembershipManager(
                        parameters.self(incarnation),
                        gossip,
                        configuration.createGossip(
                                (peer, versions) ->
                                        membership().protocol().sendVersions(peer, versions),
                                record -> crashDetector().merge(record)),
                        new SeedNodeRegistry(tables),
                        members,
                        new MembershipEventForwarder(self, entry, accounting, configuration),
                        controlLoop::execute,
                        NodeProcess::monotonicMilliseconds,
                        new SplittableRandom());
        control =
                new ControlServer(
                        controlLoop.eventLoop(),
                        settings.getControlPort(),
                        settings.getAnnouncementLeaseMilliseconds(),
                        target::announce,
                        this::isReady,
                        target::drain,
                        new MetricsFormatter(metrics));
        operators = createOperatorServer(serviceTable);
        registerGauges();
    }

    /** Opens all ports and joins the other nodes; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        return mesh.start()
                .thenCompose(done -> gossip.start())
                .thenCompose(address -> control.start())
                .thenCompose(done -> operators.start())
                .thenCompose(done -> entry.start())
                .thenRun(this::startPeriodicTasks);
    }

    /** Whether this node accepts callers. */
    public boolean isReady() {
        return configuration.isReady() && !stopping;
    }

    /** The members known to this node. */
    public MemberDirectory members() {
        return members;
    }

    /**
     * Shuts down gracefully: accepts no new work, finishes requests in flight within the drain
     * timeout, announces to the other nodes that it leaves, and stops.
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        entry.startConnectionDraining();
        logger.atInfo().log("event=node-stopping node=%s", self);
        ShutdownSteps steps =
                new ShutdownSteps(
                        target::drain,
                        entry::stop,
                        target::isIdle,
                        accounting::flush,
                        this::leave,
                        this::closePorts);
        long drain = settings.getDrainTimeoutMilliseconds();
        return new GracefulShutdown(steps, drain, NodeProcess::monotonicMilliseconds)
                .run()
                .thenRun(this::stopLoops);
    }

    private CompletableFuture<Void> leave() {
        return controlLoop.submit(() -> membership.protocol().leave(monotonicMilliseconds()));
    }

    private CompletableFuture<Void> closePorts() {
        return operators
                .stop()
                .thenCompose(closed -> control.stop())
                .thenCompose(closed -> mesh.stop())
                .thenCompose(closed -> gossip.close());
    }

    private void stopLoops() {
        callerLoop.stop();
        upstreamLoop.stop();
        controlLoop.stop();
        accountingLoop.stop();
        platform.close();
        logger.atInfo().log("event=node-stopped node=%s", self);
    }

    private void startPeriodicTasks() {
        accounting.start();
        controlLoop.execute(
                () -> configuration.requestAll(membership.nearestPeers(), monotonicMilliseconds()));
        SplittableRandom rng = new SplittableRandom();
        controlLoop.every(
                MembershipProtocol.TICK_MILLISECONDS,
                () -> {
                    membership.tick();
                    configuration.tick(
                            membership.nearestPeers(), rng.nextDouble(), monotonicMilliseconds());
                });
        logger.atInfo().log(
                "event=node-started node=%s http_port=%d", self, settings.getHttpPort());
    }

    private void registerGauges() {
        new NodeGauges(metrics)
                .add(NodeMetric.OPEN_REQUESTS, entry::openRequests)
                .add(NodeMetric.CRASHES, crashDetector::recordCount)
                .addLoad(target::lastLoad)
                .addMembers(members::count)
                .addGossip(gossip.traffic());
    }

    private CrashDetector crashDetector() {
        return crashDetector;
    }

    private void broadcast(QuarantineRecord record) {
        controlLoop.execute(() -> membership.protocol().broadcast(record));
    }

    private MembershipManager membership() {
        return membership;
    }

    private OperatorServer createOperatorServer(ServiceTable table) {
        OperatorDependencies deps =
                new OperatorDependencies(
                        self,
                        controlLoop::execute,
                        configuration,
                        membership.protocol(),
                        members,
                        entry,
                        target,
                        table);
        return new OperatorServer(
                parameters.operatorAddress(), parameters.operatorTls(), deps.createService());
    }

    private FrameHandlers handlers() {
        return new FrameHandlers(
                this::onEntryFrame,
                this::onTargetFrame,
                (link, frame) -> link.send(loadProbeAnswer()),
                (link, frame) -> controlLoop.execute(() -> configuration.onFrame(link, frame)),
                (link, frame) -> accounting.onFrame(link, frame),
                this::onUnsent,
                this::onLinkLost);
    }

    private void onLinkLost(NodeId peer, long lastUsedNanoseconds) {
        metrics.counter(NodeMetric.LOST_LINKS.metricName()).inc();
        entry.onLinkLost(peer, lastUsedNanoseconds);
    }

    private void onEntryFrame(MeshLink link, MeshFrame frame) {
        if (frame.hasLoadProbeAnswer()) {
            entry.onLoadReport(link, frame, System::nanoTime);
        } else {
            entry.offer(frame);
        }
    }

    private void onTargetFrame(MeshLink link, MeshFrame frame) {
        if (!target.offer(link, frame)) {
            metrics.counter(NodeMetric.DROPPED_FRAMES.metricName()).inc();
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=frame-dropped step=enqueue peer=%s reason=ring-full", link.peer());
        }
    }

    private void onUnsent(NodeId peer, MeshFrame frame, RefusalReason reason) {
        if (frame.hasConfigurationRequest()) {
            controlLoop.execute(() -> configuration.onUnsent(peer));
        } else {
            entry.onUnsent(frame, reason);
        }
    }

    private MeshFrame loadProbeAnswer() {
        return MeshFrame.newBuilder()
                .setLoadProbeAnswer(LoadProbeAnswer.newBuilder().setLoad(target.lastLoad()))
                .build();
    }

    private void onDatagram(
            org.damaskmoor.schema.gossip.GossipMessage message, InetSocketAddress from) {
        controlLoop.execute(() -> membership.receive(message, from));
    }

    private TargetProxy createTargetProxy(Incarnation incarnation) {
        return new TargetProxy(
                upstreamLoop,
                incarnation,
                parameters.target(),
                System::nanoTime,
                System::currentTimeMillis,
                TableClaimService.of(
                        self,
                        incarnation,
                        platform.tableService(URI.create(settings.getTableServiceUrl())),
                        upstreamLoop::execute),
                crashDetector,
                loads.createReportLimiter()::reportFor,
                this::onUpstreamStatus);
    }

    private EntryProxy createEntryProxy(Incarnation incarnation) {
        LoopbackLink loopback = new LoopbackLink(self, incarnation, frame -> entry.offer(frame));
        MeshFrameSender frameSender =
                new MeshFrameSender(
                        self,
                        members,
                        mesh,
                        frame -> target.offer(loopback, frame),
                        (frame, reason) -> entry.onUnsent(frame, reason));
        ServiceRuntimes runtimes =
                parameters.runtimes(members, loads.startProber(callerLoop, frameSender));
        EntryDependencies deps =
                new EntryDependencies(
                        System::nanoTime,
                        System::currentTimeMillis,
                        callerLoop.timers(),
                        frameSender,
                        accounting,
                        new NodeMetrics(metrics, System::nanoTime)
                                .andThen(
                                        ServiceLevelRecorder.of(
                                                runtimes::matcher, accounting::onRequestEnded)));
        return new EntryProxy(callerLoop, self, incarnation, parameters.entry(), runtimes, deps);
    }

    private void onConfiguration(ServiceMatcher services) {
        entry.onConfigurationChanged(services);
        target.onConfigurationChanged(services);
    }

    private void onUpstreamStatus(UpstreamStatus status) {
        controlLoop.execute(
                () -> {
                    long now = monotonicMilliseconds();
                    status.service()
                            .ifPresent(
                                    service -> membership.protocol().announceService(service, now));
                    membership.protocol().announceUpstream(status.state(), status.capacity(), now);
                });
    }

    private static long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
