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
import org.damaskmoor.node.internal.NodeParameters;
import org.damaskmoor.node.internal.accounting.AccountingDuty;
import org.damaskmoor.node.internal.accounting.AccountingFactory;
import org.damaskmoor.node.internal.accounting.ServiceLevelOutcomes;
import org.damaskmoor.node.internal.claims.TableClaims;
import org.damaskmoor.node.internal.configuration.ConfigurationDuty;
import org.damaskmoor.node.internal.control.ControlServer;
import org.damaskmoor.node.internal.duty.DutyLoop;
import org.damaskmoor.node.internal.entry.EntryDuty;
import org.damaskmoor.node.internal.entry.EntryParts;
import org.damaskmoor.node.internal.entry.MeshCarrier;
import org.damaskmoor.node.internal.entry.ServiceRuntimes;
import org.damaskmoor.node.internal.load.LoadMeasuring;
import org.damaskmoor.node.internal.members.JoinPoints;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.members.MembershipDuty;
import org.damaskmoor.node.internal.mesh.FrameReceivers;
import org.damaskmoor.node.internal.mesh.FrameRouter;
import org.damaskmoor.node.internal.mesh.SelfLink;
import org.damaskmoor.node.internal.metrics.MetricsText;
import org.damaskmoor.node.internal.metrics.NodeGauges;
import org.damaskmoor.node.internal.metrics.NodeMetric;
import org.damaskmoor.node.internal.metrics.NodeMetrics;
import org.damaskmoor.node.internal.operator.OperatorParts;
import org.damaskmoor.node.internal.operator.OperatorServer;
import org.damaskmoor.node.internal.security.NodeSecurity;
import org.damaskmoor.node.internal.stop.PlannedStop;
import org.damaskmoor.node.internal.stop.StopSteps;
import org.damaskmoor.node.internal.target.CrashWatch;
import org.damaskmoor.node.internal.target.TargetDuty;
import org.damaskmoor.node.internal.target.TargetDuty.UpstreamStatus;
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
 * One node: the process beside an upstream VM, with all of its duties.
 *
 * <pre>{@code
 * NodeProcess node = new NodeProcess(settings, Optional.empty(), ChannelCustomizer.NONE);
 * node.start().join();
 * node.stop().join();
 * }</pre>
 *
 * <p>Thread-safe. Invariant: each duty has one thread; duties hand messages to one another through
 * bounded rings.
 */
public final class NodeProcess {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeSettings settings;
    private final NodeParameters parameters;
    private final NodeId self;
    private final DutyLoop callerLoop = new DutyLoop("callers");
    private final DutyLoop upstreamLoop = new DutyLoop("upstream");
    private final DutyLoop controlLoop = new DutyLoop("control");
    private final DutyLoop accountingLoop = new DutyLoop("accounting");
    private final MetricRegistry metrics = new MetricRegistry();
    private final MemberDirectory members = new MemberDirectory();
    private final LoadMeasuring loads;
    private final PlatformClient platform;
    private final NettyMeshTransport mesh;
    private final GossipTransport gossip;
    private final AccountingDuty accounting;
    private final EntryDuty entry;
    private final CrashWatch crashes;
    private final TargetDuty target;
    private final ConfigurationDuty configuration;
    private final MembershipDuty membership;
    private final ControlServer control;
    private final OperatorServer operators;
    private volatile boolean stopping;

    /**
     * Creates a node that is not started.
     *
     * @param settings checked settings
     * @param security TLS towards other nodes and operators, or empty for none
     * @param customizer changes each channel to other nodes before it is used
     */
    public NodeProcess(
            NodeSettings settings, Optional<NodeSecurity> security, ChannelCustomizer customizer) {
        this(settings, security, customizer, NodeOptions.PRODUCT);
    }

    /** Creates a node that a benchmark has changed. */
    public NodeProcess(
            NodeSettings settings,
            Optional<NodeSecurity> security,
            ChannelCustomizer customizer,
            NodeOptions options) {
        this.settings = settings;
        this.loads = new LoadMeasuring(settings, metrics, members, System::nanoTime);
        this.parameters = new NodeParameters(settings, security, options);
        this.self = new NodeId(settings.getNodeId());
        Incarnation incarnation = new Incarnation(System.currentTimeMillis());
        platform = new PlatformClient(PlatformClientLimits.defaults(), new SplittableRandom());
        TableService tables = platform.tableService(URI.create(settings.getTableServiceUrl()));
        ServiceTable serviceTable = new PlatformServiceTable(tables);
        mesh =
                new NettyMeshTransport(
                        parameters.mesh(incarnation), new FrameRouter(receivers()), customizer);
        gossip =
                new GossipTransport(
                        new InetSocketAddress(settings.getAddress(), settings.getGossipPort()),
                        this::onDatagram,
                        customizer);
        accounting =
                AccountingFactory.create(
                        settings, incarnation, callerLoop, accountingLoop, members, mesh, platform);
        crashes = new CrashWatch(self, incarnation, System::nanoTime, this::spread);
        target = targetDuty(incarnation);
        entry = entryDuty(incarnation);
        configuration =
                new ConfigurationDuty(
                        controlLoop::execute,
                        members,
                        mesh,
                        serviceTable,
                        version -> membership().protocol().spread(version),
                        this::onConfiguration);
        membership =
                new MembershipDuty(
                        parameters.self(incarnation),
                        gossip,
                        configuration.gossip(
                                (peer, versions) -> membership().protocol().tell(peer, versions),
                                record -> crashes().merge(record)),
                        new JoinPoints(tables),
                        members,
                        new PresenceListener(self, entry, accounting, configuration),
                        controlLoop::execute,
                        NodeProcess::monotonicMilliseconds,
                        new SplittableRandom());
        control =
                new ControlServer(
                        controlLoop.loop(),
                        settings.getControlPort(),
                        settings.getAnnouncementLeaseMilliseconds(),
                        target::announce,
                        this::isReady,
                        target::drain,
                        new MetricsText(metrics));
        operators = operatorServer(serviceTable);
        registerGauges();
    }

    /** Opens all ports and joins the other nodes; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        return mesh.start()
                .thenCompose(done -> gossip.start())
                .thenCompose(address -> control.start())
                .thenCompose(done -> operators.start())
                .thenCompose(done -> entry.start())
                .thenRun(this::startTicks);
    }

    /** Whether this node takes callers. */
    public boolean isReady() {
        return configuration.isReady() && !stopping;
    }

    /** The members that this node knows of. */
    public MemberDirectory members() {
        return members;
    }

    /**
     * A planned stop: takes no new work, finishes what is in flight within the drain timeout, tells
     * the other nodes, and ends.
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        entry.announceClose();
        logger.atInfo().log("event=node-stopping node=%s", self);
        StopSteps steps =
                new StopSteps(
                        target::drain,
                        entry::stop,
                        target::isIdle,
                        accounting::flush,
                        this::leave,
                        this::closePorts);
        long drain = settings.getDrainTimeoutMilliseconds();
        return new PlannedStop(steps, drain, NodeProcess::monotonicMilliseconds)
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

    private void startTicks() {
        accounting.start();
        controlLoop.execute(
                () -> configuration.begin(membership.nearestPeers(), monotonicMilliseconds()));
        SplittableRandom turns = new SplittableRandom();
        controlLoop.every(
                MembershipProtocol.TICK_MILLISECONDS,
                () -> {
                    membership.tick();
                    configuration.tick(
                            membership.nearestPeers(), turns.nextDouble(), monotonicMilliseconds());
                });
        logger.atInfo().log(
                "event=node-started node=%s http_port=%d", self, settings.getHttpPort());
    }

    private void registerGauges() {
        new NodeGauges(metrics)
                .add(NodeMetric.OPEN_REQUESTS, entry::openRequests)
                .add(NodeMetric.CRASHES, crashes::records)
                .addLoad(target::lastLoad)
                .addMembers(members::count)
                .addGossip(gossip.traffic());
    }

    private CrashWatch crashes() {
        return crashes;
    }

    private void spread(QuarantineRecord record) {
        controlLoop.execute(() -> membership.protocol().spread(record));
    }

    private MembershipDuty membership() {
        return membership;
    }

    private OperatorServer operatorServer(ServiceTable table) {
        OperatorParts parts =
                new OperatorParts(
                        self,
                        controlLoop::execute,
                        configuration,
                        membership.protocol(),
                        members,
                        entry,
                        target,
                        table);
        return new OperatorServer(
                parameters.operatorAddress(), parameters.operatorSecurity(), parts.service());
    }

    private FrameReceivers receivers() {
        return new FrameReceivers(
                this::onEntryFrame,
                this::onTargetFrame,
                (link, frame) -> link.send(loadAnswer()),
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
            entry.onLoad(link, frame, System::nanoTime);
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

    private MeshFrame loadAnswer() {
        return MeshFrame.newBuilder()
                .setLoadProbeAnswer(LoadProbeAnswer.newBuilder().setLoad(target.lastLoad()))
                .build();
    }

    private void onDatagram(
            org.damaskmoor.schema.gossip.GossipMessage message, InetSocketAddress from) {
        controlLoop.execute(() -> membership.receive(message, from));
    }

    private TargetDuty targetDuty(Incarnation incarnation) {
        return new TargetDuty(
                upstreamLoop,
                incarnation,
                parameters.target(),
                System::nanoTime,
                System::currentTimeMillis,
                TableClaims.of(
                        self,
                        incarnation,
                        platform.tableService(URI.create(settings.getTableServiceUrl())),
                        upstreamLoop::execute),
                crashes,
                loads.reports()::reportFor,
                this::onUpstreamStatus);
    }

    private EntryDuty entryDuty(Incarnation incarnation) {
        SelfLink selfLink = new SelfLink(self, incarnation, frame -> entry.offer(frame));
        MeshCarrier carrier =
                new MeshCarrier(
                        self,
                        members,
                        mesh,
                        frame -> target.offer(selfLink, frame),
                        (frame, reason) -> entry.onUnsent(frame, reason));
        ServiceRuntimes runtimes = parameters.runtimes(members, loads.probes(callerLoop, carrier));
        EntryParts parts =
                new EntryParts(
                        System::nanoTime,
                        System::currentTimeMillis,
                        callerLoop.timers(),
                        carrier,
                        accounting,
                        new NodeMetrics(metrics, System::nanoTime)
                                .andThen(
                                        ServiceLevelOutcomes.of(
                                                runtimes::matcher, accounting::onEnded)));
        return new EntryDuty(callerLoop, self, incarnation, parameters.entry(), runtimes, parts);
    }

    private void onConfiguration(ServiceMatcher services) {
        entry.onConfiguration(services);
        target.onConfiguration(services);
    }

    private void onUpstreamStatus(UpstreamStatus status) {
        controlLoop.execute(
                () -> {
                    long now = monotonicMilliseconds();
                    status.service()
                            .ifPresent(
                                    service -> membership.protocol().announceService(service, now));
                    membership.protocol().announceSelf(status.state(), status.capacity(), now);
                });
    }

    private static long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
