package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.HttpRowStore;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.entry.EntryRequestHandler;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.DepartureRecords;
import org.damaskmoor.relay.internal.fleet.EvacuationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.LeavingUpstreams;
import org.damaskmoor.relay.internal.fleet.OperatorTableListener;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.fleet.StoreEra;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.link.LinkDialer;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.quota.NodeQuotas;
import org.damaskmoor.relay.internal.revocation.FreshnessRefresher;
import org.damaskmoor.relay.internal.revocation.FreshnessTracker;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.time.GuardedTimers;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.LinkHello;

/**
 * A relay: the process beside the upstream of a VM, on one event loop.
 *
 * <p>Confined to the event loop. Invariants: accepts callers only with a configuration in force;
 * finishes the requests that it has started before it stops, as far as the stop timeout allows.
 */
public final class RelayNode {

    private static final long TARGET_MAINTENANCE_INTERVAL_MILLISECONDS = 1000;

    /**
     * Time for the store to tell which incarnation of the upstream left before this node started;
     * after it, the node serves without knowing.
     */
    private static final long HISTORY_TIMEOUT_MILLISECONDS = 2000;

    private final RelaySettings settings;
    private final Timers timers;
    private final EventLog log;
    private final RandomGenerator random = new SplittableRandom();
    private final RelayMetrics metrics = new RelayMetrics();
    private final Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    private final NodeId self;
    private final NodeQuarantine quarantine;
    private final CrashBroadcaster crashes;
    private final TargetCallHandler target;
    private final FleetDirectory fleet;
    private final NodeQuotas quotas;
    private final EntryRequestHandler entry;
    private final ConfigurationHolder configuration;
    private final NodeEvacuations evacuations;
    private final OwnRecordPublisher ownRecord;
    private final DepartureRecords departures;
    private final UpstreamPublisher upstreamPublisher;
    private final TableWatch memberWatch;
    private final TableWatch configurationWatch;
    private final FreshnessRefresher freshnessRefresher;
    private final StoreReaderCoordinator reader;
    private final PeerSync peerSync;
    private final LinkDialer dialer;
    private final NodePorts ports;
    private final NodeShutdown shutdown;

    /** Creates a relay that is not started. */
    public RelayNode(RelaySettings settings, EventLoop loop, Timers timers, EventLog log) {
        this.settings = settings;
        this.timers = new GuardedTimers(timers, log);
        this.log = log;
        this.self = settings.node();
        this.quarantine = new NodeQuarantine(self, incarnation, this.timers);
        this.target = createTarget(loop);
        target.upstreamTracker().awaitHistory();
        this.dialer =
                new LinkDialer(loop, this.timers, self, incarnation, this::configuration, log);
        this.fleet = createFleetDirectory();
        this.crashes = new CrashBroadcaster(self, fleet::all, this.timers, random, log);
        this.quotas = new NodeQuotas(self, incarnation, fleet, this.timers, log, metrics);
        StoreEra storeEra = new StoreEra(log, this::onStoreRestored);
        NodeFreshness freshness =
                new NodeFreshness(settings, this.timers, storeEra, this::configuration, metrics);
        this.entry =
                new NodeEntryFactory(settings, fleet, this.timers, random, log, metrics)
                        .create(incarnation, quarantine, freshness.tracker()::holds, quotas);
        this.configuration = createConfiguration();
        RowStore store =
                new HttpRowStore(loop, settings.store(), storeEra::onEra, freshness.tracker());
        this.evacuations =
                new NodeEvacuations(
                        settings.dataCentre(), storeEra, fleet, target, this::reader, log);
        this.ownRecord = new OwnRecordPublisher(self, store, this.timers, random, log);
        this.reader = createReader(storeEra, freshness.tracker());
        this.departures =
                new DepartureRecords(
                        self, settings.dataCentre(), store, reader::isReader, this.timers, log);
        this.upstreamPublisher = createUpstreamPublisher();
        this.memberWatch =
                tableWatch(
                        FleetDirectory.TABLE,
                        store,
                        new MemberTableListener(
                                self,
                                fleet,
                                ownRecord,
                                reader,
                                departures,
                                upstreamPublisher::restoreDeparture),
                        reader.memberPolicy(),
                        () -> {});
        this.configurationWatch = createConfigurationWatch(store);
        this.freshnessRefresher =
                freshness.createRefresher(store, configurationWatch, this.timers, random, log);
        this.peerSync =
                new PeerSync(
                        fleet, configuration, quarantine, this::isUninformed, this.timers, random);
        this.ports = createPorts(loop);
        this.shutdown = createShutdown();
        registerGauges();
    }

    private TargetCallHandler createTarget(EventLoop loop) {
        NodeTargetCallbacks callbacks =
                new NodeTargetCallbacks(
                        this::onUpstreamChanged,
                        () -> configuration.table(),
                        this::upstreamService,
                        () -> evacuations.isEvacuated(),
                        settings.region(),
                        settings.coldLimits(),
                        () -> entry().lastFailureAt(),
                        service -> entry().isExporting(service),
                        quarantine,
                        records -> crashes.onOwnCrash(records));
        return new NodeTargetFactory(settings, loop, timers, log).create(incarnation, callbacks);
    }

    private ConfigurationHolder createConfiguration() {
        return new ConfigurationHolder(
                log,
                this::onConfiguration,
                (version, storeTime) -> reader().onCurrentVersion(version, storeTime));
    }

    private UpstreamPublisher createUpstreamPublisher() {
        return new UpstreamPublisher(
                self,
                target,
                load -> ports().links().broadcast(load),
                fleet,
                ownRecord,
                departures,
                new OwnRecordFactory(settings, incarnation),
                timers);
    }

    private TableWatch createConfigurationWatch(RowStore store) {
        return tableWatch(
                ConfigurationDecoder.TABLE,
                store,
                new OperatorTableListener(evacuations.holder(), configuration),
                reader.configurationPolicy(),
                () -> memberWatch().pollNow());
    }

    private NodeShutdown createShutdown() {
        return new NodeShutdown(
                self,
                target,
                entry,
                ownRecord,
                departures,
                ports,
                this::stopWatches,
                new GracefulStop(timers, settings.stopMilliseconds()),
                log);
    }

    private void registerGauges() {
        metrics.gauge("open-requests", entry::openRequests);
        metrics.gauge("members", () -> fleet.all().size());
        metrics.gauge("configuration-version", this::configurationVersion);
        metrics.gauge("evacuated-data-centres", () -> fleet.evacuated().size());
        metrics.gauge("cold-milliseconds", () -> target.load().getColdRemainingMilliseconds());
    }

    private StoreReaderCoordinator createReader(StoreEra storeEra, FreshnessTracker freshness) {
        NodeStoreWatches watches =
                new NodeStoreWatches(
                        this::configurationWatch, this::memberWatch, this::isStoreLost);
        EvacuationHolder held = evacuations.holder();
        return new StoreReaderCoordinator(
                self,
                fleet,
                configuration,
                held,
                storeEra,
                watches,
                freshness,
                timers,
                random,
                log);
    }

    private TableWatch tableWatch(
            String table,
            RowStore store,
            TableWatch.Listener listener,
            TableWatch.PollPolicy pollPolicy,
            Runnable onRegained) {
        return new TableWatch(table, store, timers, random, log, listener, pollPolicy, onRegained);
    }

    private void onStoreRestored() {
        reader.onStoreRestored();
        fleet.onStoreRestored();
        departures.onStoreRestored();
        configurationWatch.onStoreRestored();
        if (!memberWatch.onStoreRestored()) {
            ownRecord.onStoreRestored();
        }
    }

    private FleetDirectory createFleetDirectory() {
        NodeLinkListener listener =
                new NodeLinkListener(this::entry, this::fleet, this::merge, () -> quotas);
        return new FleetDirectory(
                self,
                settings.region(),
                settings.dataCentre(),
                (node, address) -> dialer.link(node, address, listener),
                timers,
                log,
                new LeavingUpstreams(log));
    }

    private NodePorts createPorts(EventLoop loop) {
        NodeIncomingLinkHandler linkHandler =
                new NodeIncomingLinkHandler(
                        target,
                        this::createHello,
                        request -> evacuations.addTo(peerSync.createFleetNews(request)),
                        this::merge,
                        evacuations::onReaderSign,
                        quotas);
        return new NodePortsFactory(settings, loop, timers, log, metrics)
                .create(target, linkHandler, entry, configuration::callerLimits, this::isReady);
    }

    /** Opens all ports, then starts to read the store; completes when the ports are open. */
    public CompletableFuture<Void> start() {
        LocalLink localLink =
                new LocalLink(
                        new EntryId(self, incarnation),
                        target,
                        entry.outcomeListener(self),
                        timers);
        fleet.addSelf(upstreamPublisher.firstRecord(settings.service()), localLink);
        return ports.start().thenRun(this::begin);
    }

    private void begin() {
        configurationWatch.start();
        memberWatch.start();
        reader.start();
        freshnessRefresher.start();
        quotas.start();
        peerSync.start(
                settings.seeds(),
                settings.links().getPort(),
                address -> dialer.seedLink(address, new SeedLinkListener(this::merge)));
        timers.repeat(TARGET_MAINTENANCE_INTERVAL_MILLISECONDS, target::maintain);
        timers.schedule(HISTORY_TIMEOUT_MILLISECONDS, target::onHistoryKnown);
        log.event("node-started")
                .with("node", self)
                .with("incarnation", incarnation)
                .with("data_centre", settings.dataCentre())
                .with("service", settings.service())
                .write();
    }

    /** Stops gracefully: refuses new requests, finishes open ones and closes all ports. */
    public CompletableFuture<Void> stop() {
        return shutdown.run();
    }

    private void stopWatches() {
        memberWatch.stop();
        configurationWatch.stop();
    }

    private boolean isReady() {
        return configuration.table().isPresent()
                && !target.upstreamTracker().isAwaitingHistory()
                && !shutdown.isRunning();
    }

    private void onConfiguration(RouteTable table) {
        entry.applyRoutes(table);
        quotas.onConfiguration(table);
        reader.onOperatorChange();
    }

    private void onUpstreamChanged() {
        upstreamPublisher.publish(target.load());
    }

    private LinkHello createHello() {
        LinkHello.Builder hello =
                LinkHello.newBuilder()
                        .setNodeId(self.value())
                        .setIncarnation(incarnation.value())
                        .setConfigurationVersion(configurationVersion())
                        .setLoad(target.load());
        fleet.find(self).ifPresent(own -> hello.setMember(own.member()));
        return hello.build();
    }

    private void merge(FleetNews update) {
        evacuations.onFleetNews(update);
        configuration.applyIfNewer(update.getConfiguration(), "peer");
        configuration.applyCompressedIfNewer(update.getCompressedConfiguration(), "peer");
        fleet.merge(update.getMembersList());
        crashes.onHeard(quarantine.merge(update.getCrashesList()));
    }

    private boolean isStoreLost() {
        return configurationWatch.isLost()
                || memberWatch.isLost()
                || configuration.table().isEmpty()
                || !fleet.hasSnapshot();
    }

    /** Whether neither the store nor a reader tells this node of changes. */
    private boolean isUninformed() {
        boolean started = configuration.table().isPresent() && fleet.hasSnapshot();
        return isStoreLost() && !(started && reader.isInformed());
    }

    private Optional<ServiceName> upstreamService() {
        return target.upstreamTracker().current().map(UpstreamAnnouncement::service);
    }

    private StoreReaderCoordinator reader() {
        return reader;
    }

    private long configurationVersion() {
        return configuration.version();
    }

    private ConfigurationHolder configuration() {
        return configuration;
    }

    private TableWatch configurationWatch() {
        return configurationWatch;
    }

    private TableWatch memberWatch() {
        return memberWatch;
    }

    private NodePorts ports() {
        return ports;
    }

    private EntryRequestHandler entry() {
        return entry;
    }

    private FleetDirectory fleet() {
        return fleet;
    }
}
