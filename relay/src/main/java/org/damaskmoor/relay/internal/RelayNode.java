package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.placement.RouteStatistics;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.routetable.ServiceDefinition;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.EndpointPaths;
import org.damaskmoor.platform.protocol.HttpRowStore;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.caller.CallerServer;
import org.damaskmoor.relay.internal.control.AnnouncementEndpoint;
import org.damaskmoor.relay.internal.control.ControlHttpServer;
import org.damaskmoor.relay.internal.control.ControlHttpServer.Answer;
import org.damaskmoor.relay.internal.entry.EntryContext;
import org.damaskmoor.relay.internal.entry.EntryRequestHandler;
import org.damaskmoor.relay.internal.entry.RetryBudgets;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.link.LinkDialer;
import org.damaskmoor.relay.internal.link.LinkServer;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * One relay: the process beside an upstream VM, on one event loop.
 *
 * <p>Confined to the event loop. Invariants: takes callers only with a configuration in force; what
 * it has begun, it ends before it stops, as far as the stop timeout allows.
 */
public final class RelayNode {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String METRICS_PATH = "/metrics";

    /** Calls remembered at once; each takes some hundred bytes. */
    private static final int LEDGER_ENTRIES = 20_000;

    private static final long LEDGER_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int LEDGER_FENCES = 1024;
    private static final long TICK_MILLISECONDS = 1000;

    /** Time for the last replies to be written before connections are closed. */
    private static final long LAST_REPLIES_MILLISECONDS = 50;

    private final RelaySettings settings;
    private final Timers timers;
    private final EventLog log;
    private final RandomGenerator random = new SplittableRandom();
    private final RelayMetrics metrics = new RelayMetrics();
    private final Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    private final NodeId self;
    private final NodeQuarantine crashes;
    private final TargetCallHandler target;
    private final FleetDirectory fleet;
    private final EntryRequestHandler entry;
    private final ConfigurationHolder configuration;
    private final OwnRecordPublisher ownRecord;
    private final TableWatch memberWatch;
    private final TableWatch configurationWatch;
    private final StoreReaderCoordinator reading;
    private final PeerSync peerNews;
    private final LinkDialer dialer;
    private final NodePorts ports;
    private final OwnRecordFactory ownMember;
    private final GracefulStop stop;

    /** Creates a relay that is not started. */
    public RelayNode(RelaySettings settings, EventLoop loop, Timers timers, EventLog log) {
        this.settings = settings;
        this.timers = timers;
        this.log = log;
        this.self = settings.node();
        this.crashes = new NodeQuarantine(self, incarnation, timers);
        this.ownMember = new OwnRecordFactory(settings, incarnation);
        this.target = targetDesk(loop);
        this.dialer = new LinkDialer(loop, timers, self, incarnation, this::configurationVersion);
        this.fleet = directory();
        this.entry = entryDesk();
        this.configuration = new ConfigurationHolder(log, this::onConfiguration);
        RowStore store = new HttpRowStore(loop, settings.store());
        this.ownRecord = new OwnRecordPublisher(self, store, timers, random, log);
        this.reading =
                new StoreReaderCoordinator(
                        self,
                        fleet,
                        configuration,
                        this::isStoreLost,
                        this::isConfigurationLost,
                        this::askStoreNow,
                        this::suspectStore,
                        timers,
                        random,
                        log);
        MemberTableListener members = new MemberTableListener(self, fleet, ownRecord, reading);
        this.memberWatch =
                tableWatch(FleetDirectory.TABLE, store, members, reading.memberPace(), () -> {});
        this.configurationWatch =
                tableWatch(
                        ConfigurationDecoder.TABLE,
                        store,
                        configuration,
                        reading.configurationPace(),
                        this::onStoreRegained);
        this.peerNews =
                new PeerSync(fleet, configuration, crashes, this::isStoreLost, timers, random);
        this.ports = ports(loop);
        this.stop = new GracefulStop(timers, settings.stopMilliseconds());
        metrics.gauge("open-requests", entry::openRequests);
        metrics.gauge("members", () -> fleet.all().size());
        metrics.gauge("configuration-version", this::configurationVersion);
    }

    private TableWatch tableWatch(
            String table,
            RowStore store,
            TableWatch.Listener listener,
            TableWatch.Pace pace,
            Runnable onRegained) {
        return new TableWatch(table, store, timers, random, log, listener, pace, onRegained);
    }

    private void askStoreNow() {
        configurationWatch.pollNow();
        memberWatch.pollNow();
    }

    /** Another node has a change that the store, which is asked for it, has not told this one. */
    private void suspectStore() {
        if (configurationWatch.isWaiting()) {
            configurationWatch.rereadTable();
            memberWatch.rereadTable();
        }
    }

    private void onStoreRegained() {
        memberWatch.pollNow();
    }

    private boolean isConfigurationLost() {
        return configurationWatch.isLost();
    }

    private TargetCallHandler targetDesk(EventLoop loop) {
        return new TargetCallHandler(
                incarnation,
                new UpstreamTracker(settings.drainMilliseconds()),
                TargetLedger.bounded(
                        incarnation,
                        new LedgerLimits(LEDGER_ENTRIES, LEDGER_ANSWER_BYTES, LEDGER_FENCES)),
                loop,
                settings.upstream(),
                timers,
                log,
                new NodeTargetCallbacks(
                        this::onUpstreamChanged,
                        this::healthPath,
                        () -> entry().lastFailureAt(),
                        crashes,
                        this::tellCrashes),
                settings.healthChecksPerSecond());
    }

    private FleetDirectory directory() {
        NodeLinkListener listener = new NodeLinkListener(this::entry, this::fleet, this::merge);
        return new FleetDirectory(
                self,
                settings.region(),
                settings.dataCentre(),
                (node, address) -> dialer.link(node, address, listener),
                timers,
                log);
    }

    private EntryRequestHandler entryDesk() {
        EntryContext context =
                new EntryContext(
                        settings.service(),
                        fleet,
                        new TargetChooser(random),
                        new RouteStatistics(),
                        new RetryBudgets(
                                settings.retryRatio(),
                                settings.retrySlack(),
                                settings.retryWindowMilliseconds()),
                        timers,
                        random,
                        log,
                        metrics);
        return new EntryRequestHandler(self, incarnation, context, crashes);
    }

    private NodePorts ports(EventLoop loop) {
        NodeIncomingLinkHandler receiver =
                new NodeIncomingLinkHandler(
                        target,
                        this::greeting,
                        peerNews::createFleetNews,
                        this::merge,
                        reading::onReaderSign);
        CallerServer callers =
                new CallerServer(
                        loop,
                        settings.callers(),
                        timers,
                        this::callerLimits,
                        entry,
                        status -> metrics.count("malformed", Integer.toString(status)));
        return new NodePorts(
                new ControlHttpServer(
                        loop, settings.announcements(), new AnnouncementEndpoint(target, log)),
                new LinkServer(loop, settings.links(), receiver),
                new ControlHttpServer(
                        loop, settings.readiness(), (method, path, body) -> readiness(path)),
                callers,
                settings.metrics().map(address -> metricsPort(loop, address)));
    }

    private ControlHttpServer metricsPort(EventLoop loop, InetSocketAddress address) {
        return new ControlHttpServer(loop, address, (method, path, body) -> metrics(path));
    }

    /** Opens all ports and begins to read the store; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        LocalLink local =
                new LocalLink(
                        new EntryId(self, incarnation),
                        target,
                        entry.outcomeListener(self),
                        timers);
        fleet.addSelf(ownMember.create(settings.service().value(), 0), local);
        return ports.start().thenRun(this::begin);
    }

    private void begin() {
        configurationWatch.start();
        memberWatch.start();
        reading.start();
        peerNews.start(
                settings.seeds(),
                settings.links().getPort(),
                address -> dialer.seedLink(address, new SeedLinkListener(this::merge)));
        timers.schedule(TICK_MILLISECONDS, this::tick);
        log.event("node-started")
                .with("node", self)
                .with("incarnation", incarnation)
                .with("data_centre", settings.dataCentre())
                .with("service", settings.service())
                .write();
    }

    private void tick() {
        target.expireLedger();
        timers.schedule(TICK_MILLISECONDS, this::tick);
    }

    /** A planned stop: takes no new work, ends what was begun, and closes. */
    public CompletableFuture<Void> stop() {
        log.event("node-stopping").with("node", self).with("open", entry.openRequests()).write();
        target.stopAccepting();
        ports.callers().closeAfterReplies();
        boolean upstreamGone = target.upstreamTracker().isLeaving();
        CompletableFuture<Void> left =
                upstreamGone ? ownRecord.remove() : CompletableFuture.completedFuture(null);
        return stop.run(
                        entry::rejectNewRequests,
                        () -> left.isDone() && ports.callers().isIdle() && target.isIdle())
                .thenRun(entry::finishAll)
                .thenCompose(done -> laterReplies())
                .thenRun(this::close);
    }

    /** Completes when the replies that were just given have been written. */
    private CompletableFuture<Void> laterReplies() {
        CompletableFuture<Void> written = new CompletableFuture<>();
        timers.schedule(LAST_REPLIES_MILLISECONDS, () -> written.complete(null));
        return written;
    }

    private void close() {
        memberWatch.stop();
        configurationWatch.stop();
        ports.stop();
        log.event("node-stopped").with("node", self).write();
    }

    private Answer readiness(String path) {
        if (!path.equals(EndpointPaths.READY)) {
            return Answer.nothingHere();
        }
        boolean ready = configuration.table().isPresent() && !stop.isRunning();
        return ready ? Answer.text(OK, "ready\n") : Answer.text(UNAVAILABLE, "not ready\n");
    }

    private Answer metrics(String path) {
        return path.equals(METRICS_PATH) ? Answer.text(OK, metrics.render()) : Answer.nothingHere();
    }

    private void onConfiguration(RouteTable table) {
        entry.applyRoutes(table);
        reading.onConfiguration();
    }

    private void onUpstreamChanged() {
        TargetLoad load = target.load();
        ports.links().broadcast(load);
        fleet.find(self).ifPresent(own -> own.updateLoad(load, timers.now()));
        target.upstreamTracker().current().ifPresent(this::record);
    }

    private void record(UpstreamAnnouncement upstream) {
        if (!target.upstreamTracker().isLeaving()) {
            ownRecord.publish(ownMember.create(upstream.service().value(), upstream.slots()));
        }
    }

    private LinkHello greeting() {
        LinkHello.Builder hello =
                LinkHello.newBuilder()
                        .setNodeId(self.value())
                        .setIncarnation(incarnation.value())
                        .setConfigurationVersion(configurationVersion())
                        .setLoad(target.load());
        fleet.find(self).ifPresent(own -> hello.setMember(own.member()));
        return hello.build();
    }

    private void merge(FleetNews news) {
        configuration.applyIfNewer(news.getConfiguration(), "peer");
        fleet.merge(news.getMembersList());
        tellCrashes(crashes.merge(news.getCrashesList()));
    }

    private void tellCrashes(List<QuarantineRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        log.event("crash-heard").with("records", records.size()).write();
        FleetNews news = FleetNews.newBuilder().addAllCrashes(records).build();
        fleet.all().forEach(known -> known.link().send(news));
    }

    private boolean isStoreLost() {
        return configurationWatch.isLost()
                || memberWatch.isLost()
                || configuration.table().isEmpty()
                || !fleet.hasSnapshot();
    }

    private CallerLimits callerLimits() {
        return configuration.table().map(RouteTable::limits).orElse(CallerLimits.UNCONFIGURED);
    }

    private String healthPath() {
        return target.upstreamTracker()
                .current()
                .flatMap(
                        upstream ->
                                configuration.table().flatMap(t -> t.service(upstream.service())))
                .map(ServiceDefinition::healthPath)
                .orElse("");
    }

    private long configurationVersion() {
        return configuration.version();
    }

    private EntryRequestHandler entry() {
        return entry;
    }

    private FleetDirectory fleet() {
        return fleet;
    }
}
