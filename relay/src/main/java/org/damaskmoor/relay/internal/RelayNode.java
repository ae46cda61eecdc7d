package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
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
import org.damaskmoor.platform.machines.StoredRow;
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
import org.damaskmoor.relay.internal.fleet.FleetTarget;
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
import org.damaskmoor.schema.link.FleetMember;
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

    /** Changes of members within this time cost one call to the store. */
    private static final long READER_REST_MILLISECONDS = 400;

    /** How long a node that hears of members from its region's readers leaves the store alone. */
    private static final long OTHERS_REST_MILLISECONDS = 8000;

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
    private final PeerNews peerNews;
    private final LinkDialer dialer;
    private final LinkServer links;
    private final CallerServer callers;
    private final SmallHttpServer readiness;
    private final SmallHttpServer announcements;
    private final Optional<SmallHttpServer> metricsPort;
    private final GracefulStop stop;
    private long revision;

    /** Creates a relay that is not started. */
    public RelayNode(RelaySettings settings, EventLoop loop, Timers timers, EventLog log) {
        this.settings = settings;
        this.timers = timers;
        this.log = log;
        this.self = settings.node();
        this.crashes = new CrashBoard(self, incarnation, timers);
        this.target =
                new TargetDesk(
                        incarnation,
                        new UpstreamRegister(settings.drainMilliseconds()),
                        TargetLedger.bounded(
                                incarnation,
                                new LedgerLimits(
                                        LEDGER_ENTRIES, LEDGER_ANSWER_BYTES, LEDGER_FENCES)),
                        loop,
                        settings.upstream(),
                        timers,
                        log,
                        new NodeTargetEvents(
                                this::onUpstreamChanged,
                                this::statusPath,
                                () -> entry().lastFailureAt(),
                                crashes,
                                this::tellCrashes),
                        settings.statusChecksPerSecond());
        this.dialer = new LinkDialer(loop, timers, self, incarnation, this::configurationVersion);
        NodeLinkListener linkListener = new NodeLinkListener(this::entry, this::fleet, this::merge);
        this.fleet =
                new FleetDirectory(
                        self,
                        settings.region(),
                        settings.dataCentre(),
                        (node, address) -> dialer.link(node, address, linkListener),
                        timers,
                        log);
        this.entry =
                new EntryDesk(
                        self,
                        incarnation,
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
                                metrics),
                        crashes);
        this.configuration = new ConfigurationHolder(log, this::onConfiguration);
        RowStore store = new HttpRowStore(loop, settings.store());
        this.ownRecord = new OwnRecord(self, store, timers, random, log);
        this.memberWatch =
                new TableWatch(
                        FleetDirectory.TABLE,
                        store,
                        timers,
                        random,
                        log,
                        new MemberListener(),
                        this::memberRest);
        this.configurationWatch =
                new TableWatch(
                        ConfigurationDecoder.TABLE,
                        store,
                        timers,
                        random,
                        log,
                        configuration,
                        () -> 0);
        this.peerNews =
                new PeerNews(fleet, configuration, crashes, this::isStoreLost, timers, random);
        this.links =
                new LinkServer(
                        loop,
                        settings.links(),
                        new NodeCallReceiver(target, this::greeting, peerNews::news, this::merge));
        this.callers =
                new CallerServer(
                        loop,
                        settings.callers(),
                        timers,
                        this::callerLimits,
                        entry,
                        status -> metrics.count("malformed", Integer.toString(status)));
        this.readiness =
                new SmallHttpServer(
                        loop, settings.readiness(), (method, path, body) -> readiness(path));
        this.announcements =
                new SmallHttpServer(
                        loop, settings.announcements(), new AnnouncementPort(target, log));
        this.metricsPort =
                settings.metrics()
                        .map(
                                address ->
                                        new SmallHttpServer(
                                                loop,
                                                address,
                                                (method, path, body) -> metrics(path)));
        this.stop = new GracefulStop(timers, settings.stopMilliseconds());
        metrics.gauge("open-requests", entry::openRequests);
        metrics.gauge("members", () -> fleet.all().size());
        metrics.gauge("configuration-version", this::configurationVersion);
    }

    /** Opens all ports and begins to read the store; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        LocalLink local =
                new LocalLink(
                        new EntryName(self, incarnation), target, entry.outcomes(self), timers);
        fleet.addSelf(ownMember(settings.service().value(), 0), local);
        return announcements
                .start()
                .thenCompose(done -> links.start())
                .thenCompose(done -> readiness.start())
                .thenCompose(done -> callers.start())
                .thenCompose(done -> startMetrics())
                .thenRun(this::begin);
    }

    private CompletableFuture<Void> startMetrics() {
        return metricsPort
                .map(SmallHttpServer::start)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    private void begin() {
        configurationWatch.start();
        memberWatch.start();
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
        callers.announceClose();
        boolean upstreamGone = target.register().isLeaving();
        CompletableFuture<Void> left =
                upstreamGone ? ownRecord.leave() : CompletableFuture.completedFuture(null);
        return stop.run(
                        entry::refuseNew,
                        () -> left.isDone() && callers.isIdle() && target.isIdle())
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
        callers.stop();
        links.stop();
        readiness.stop();
        announcements.stop();
        metricsPort.ifPresent(SmallHttpServer::stop);
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
    }

    private void onUpstreamChanged() {
        TargetLoad load = target.load();
        links.broadcast(load);
        fleet.find(self).ifPresent(own -> own.hear(load, timers.now()));
        target.register().current().ifPresent(this::record);
    }

    private void record(UpstreamAnnouncement upstream) {
        if (!target.register().isLeaving()) {
            ownRecord.want(ownMember(upstream.service().value(), upstream.slots()));
        }
    }

    private FleetMember ownMember(String service, int slots) {
        revision++;
        return FleetMember.newBuilder()
                .setNodeId(self.value())
                .setIncarnation(incarnation.value())
                .setRevision(revision)
                .setAddress(settings.links().getHostString() + ":" + settings.links().getPort())
                .setDataCentre(settings.dataCentre().value())
                .setRegion(settings.region().value())
                .setService(service)
                .setSlots(slots)
                .build();
    }

    /** Readers of a region ask again soon; the others hear of changes from them. */
    private long memberRest() {
        long rest = fleet.isReader() ? READER_REST_MILLISECONDS : OTHERS_REST_MILLISECONDS;
        return rest / 2 + random.nextLong(rest);
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

    private String statusPath() {
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

    /** Tells the store's rows to the directory, and the own row to its writer. */
    private final class MemberListener implements TableWatch.Listener {
        @Override
        public void onSnapshot(List<StoredRow> rows) {
            fleet.onSnapshot(rows);
            Optional<StoredRow> own =
                    rows.stream().filter(row -> row.key().equals(self.value())).findFirst();
            own.ifPresentOrElse(ownRecord::onStored, ownRecord::onNotStored);
        }

        @Override
        public void onChange(StoredRow row) {
            fleet.onChange(row);
            if (row.key().equals(self.value())) {
                ownRecord.onStored(row);
            } else if (fleet.isReader()) {
                tell(row);
            }
        }

        private void tell(StoredRow row) {
            Optional<FleetMember> known =
                    row.removed()
                            ? Optional.of(
                                    FleetMember.newBuilder()
                                            .setNodeId(row.key())
                                            .setIncarnation(Long.MAX_VALUE)
                                            .setDeparted(true)
                                            .build())
                            : fleet.find(new NodeId(row.key())).map(FleetTarget::member);
            known.ifPresent(fleet::tellRegion);
        }
    }
}
