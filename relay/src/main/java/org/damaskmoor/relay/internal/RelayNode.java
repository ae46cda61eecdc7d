package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.once.LedgerLimits;
import org.damaskmoor.core.once.TargetLedger;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.placement.UsualWork;
import org.damaskmoor.core.routes.CallerLimits;
import org.damaskmoor.core.routes.RouteTable;
import org.damaskmoor.core.routes.ServiceEntry;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamRegister;
import org.damaskmoor.platform.machines.CallPaths;
import org.damaskmoor.platform.machines.ConfigurationDecoder;
import org.damaskmoor.platform.machines.HttpRowStore;
import org.damaskmoor.platform.machines.RowStore;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.caller.CallerServer;
import org.damaskmoor.relay.internal.control.AnnouncementPort;
import org.damaskmoor.relay.internal.control.SmallHttpServer;
import org.damaskmoor.relay.internal.control.SmallHttpServer.Answer;
import org.damaskmoor.relay.internal.entry.EntryContext;
import org.damaskmoor.relay.internal.entry.EntryDesk;
import org.damaskmoor.relay.internal.entry.RetryBudgets;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.OwnRecord;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.link.EntryName;
import org.damaskmoor.relay.internal.link.LinkDialer;
import org.damaskmoor.relay.internal.link.LinkServer;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.target.TargetDesk;
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
    private final CrashBoard crashes;
    private final TargetDesk target;
    private final FleetDirectory fleet;
    private final EntryDesk entry;
    private final ConfigurationHolder configuration;
    private final OwnRecord ownRecord;
    private final TableWatch memberWatch;
    private final TableWatch configurationWatch;
    private final StoreReading reading;
    private final PeerNews peerNews;
    private final LinkDialer dialer;
    private final NodePorts ports;
    private final OwnMember ownMember;
    private final GracefulStop stop;

    /** Creates a relay that is not started. */
    public RelayNode(RelaySettings settings, EventLoop loop, Timers timers, EventLog log) {
        this.settings = settings;
        this.timers = timers;
        this.log = log;
        this.self = settings.node();
        this.crashes = new CrashBoard(self, incarnation, timers);
        this.ownMember = new OwnMember(settings, incarnation);
        this.target = targetDesk(loop);
        this.dialer = new LinkDialer(loop, timers, self, incarnation, this::configurationVersion);
        this.fleet = directory();
        this.entry = entryDesk();
        this.configuration = new ConfigurationHolder(log, this::onConfiguration);
        RowStore store = new HttpRowStore(loop, settings.store());
        this.ownRecord = new OwnRecord(self, store, timers, random, log);
        this.reading =
                new StoreReading(
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
        MemberRows members = new MemberRows(self, fleet, ownRecord, reading);
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
                new PeerNews(fleet, configuration, crashes, this::isStoreLost, timers, random);
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
        configurationWatch.askNow();
        memberWatch.askNow();
    }

    /** Another node has a change that the store, which is asked for it, has not told this one. */
    private void suspectStore() {
        if (configurationWatch.isWaiting()) {
            configurationWatch.askAnew();
            memberWatch.askAnew();
        }
    }

    private void onStoreRegained() {
        memberWatch.askNow();
    }

    private boolean isConfigurationLost() {
        return configurationWatch.isLost();
    }

    private TargetDesk targetDesk(EventLoop loop) {
        return new TargetDesk(
                incarnation,
                new UpstreamRegister(settings.drainMilliseconds()),
                TargetLedger.bounded(
                        incarnation,
                        new LedgerLimits(LEDGER_ENTRIES, LEDGER_ANSWER_BYTES, LEDGER_FENCES)),
                loop,
                settings.upstream(),
                timers,
                log,
                new NodeTargetEvents(
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

    private EntryDesk entryDesk() {
        EntryContext context =
                new EntryContext(
                        settings.service(),
                        fleet,
                        new TargetChooser(random),
                        new UsualWork(),
                        new RetryBudgets(
                                settings.retryRatio(),
                                settings.retrySlack(),
                                settings.retryWindowMilliseconds()),
                        timers,
                        random,
                        log,
                        metrics);
        return new EntryDesk(self, incarnation, context, crashes);
    }

    private NodePorts ports(EventLoop loop) {
        NodeCallReceiver receiver =
                new NodeCallReceiver(
                        target, this::greeting, peerNews::news, this::merge, reading::onSign);
        CallerServer callers =
                new CallerServer(
                        loop,
                        settings.callers(),
                        timers,
                        this::callerLimits,
                        entry,
                        status -> metrics.count("malformed", Integer.toString(status)));
        return new NodePorts(
                new SmallHttpServer(
                        loop, settings.announcements(), new AnnouncementPort(target, log)),
                new LinkServer(loop, settings.links(), receiver),
                new SmallHttpServer(
                        loop, settings.readiness(), (method, path, body) -> readiness(path)),
                callers,
                settings.metrics().map(address -> metricsPort(loop, address)));
    }

    private SmallHttpServer metricsPort(EventLoop loop, InetSocketAddress address) {
        return new SmallHttpServer(loop, address, (method, path, body) -> metrics(path));
    }

    /** Opens all ports and begins to read the store; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        LocalLink local =
                new LocalLink(
                        new EntryName(self, incarnation), target, entry.outcomes(self), timers);
        fleet.addSelf(ownMember.record(settings.service().value(), 0), local);
        return ports.start().thenRun(this::begin);
    }

    private void begin() {
        configurationWatch.start();
        memberWatch.start();
        reading.start();
        peerNews.start(
                settings.seeds(),
                settings.links().getPort(),
                address -> dialer.newsLink(address, new NewsLinkListener(this::merge)));
        timers.after(TICK_MILLISECONDS, this::tick);
        log.event("node-started")
                .with("node", self)
                .with("incarnation", incarnation)
                .with("data_centre", settings.dataCentre())
                .with("service", settings.service())
                .write();
    }

    private void tick() {
        target.tick();
        timers.after(TICK_MILLISECONDS, this::tick);
    }

    /** A planned stop: takes no new work, ends what was begun, and closes. */
    public CompletableFuture<Void> stop() {
        log.event("node-stopping").with("node", self).with("open", entry.openRequests()).write();
        target.stop();
        ports.callers().announceClose();
        boolean upstreamGone = target.register().isLeaving();
        CompletableFuture<Void> left =
                upstreamGone ? ownRecord.leave() : CompletableFuture.completedFuture(null);
        return stop.run(
                        entry::refuseNew,
                        () -> left.isDone() && ports.callers().isIdle() && target.isIdle())
                .thenRun(entry::endAll)
                .thenCompose(done -> laterReplies())
                .thenRun(this::close);
    }

    /** Completes when the replies that were just given have been written. */
    private CompletableFuture<Void> laterReplies() {
        CompletableFuture<Void> written = new CompletableFuture<>();
        timers.after(LAST_REPLIES_MILLISECONDS, () -> written.complete(null));
        return written;
    }

    private void close() {
        memberWatch.stop();
        configurationWatch.stop();
        ports.stop();
        log.event("node-stopped").with("node", self).write();
    }

    private Answer readiness(String path) {
        if (!path.equals(CallPaths.READY)) {
            return Answer.nothingHere();
        }
        boolean ready = configuration.table().isPresent() && !stop.isRunning();
        return ready ? Answer.text(OK, "ready\n") : Answer.text(UNAVAILABLE, "not ready\n");
    }

    private Answer metrics(String path) {
        return path.equals(METRICS_PATH) ? Answer.text(OK, metrics.text()) : Answer.nothingHere();
    }

    private void onConfiguration(RouteTable table) {
        entry.configure(table);
        reading.onConfiguration();
    }

    private void onUpstreamChanged() {
        TargetLoad load = target.load();
        ports.links().broadcast(load);
        fleet.find(self).ifPresent(own -> own.hear(load, timers.now()));
        target.register().current().ifPresent(this::record);
    }

    private void record(UpstreamAnnouncement upstream) {
        if (!target.register().isLeaving()) {
            ownRecord.want(ownMember.record(upstream.service().value(), upstream.slots()));
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
        configuration.offer(news.getConfiguration(), "peer");
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
                || !fleet.snapshotSeen();
    }

    private CallerLimits callerLimits() {
        return configuration.table().map(RouteTable::limits).orElse(CallerLimits.UNCONFIGURED);
    }

    private String healthPath() {
        return target.register()
                .current()
                .flatMap(
                        upstream ->
                                configuration.table().flatMap(t -> t.service(upstream.service())))
                .map(ServiceEntry::healthPath)
                .orElse("");
    }

    private long configurationVersion() {
        return configuration.version();
    }

    private EntryDesk entry() {
        return entry;
    }

    private FleetDirectory fleet() {
        return fleet;
    }
}
