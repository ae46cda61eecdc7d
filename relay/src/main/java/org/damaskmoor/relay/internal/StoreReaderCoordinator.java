package org.damaskmoor.relay.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.election.ReaderElection;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * Decides how closely this node asks the store. Each node waits for the configuration by itself, so
 * that it is in force in time whatever becomes of others; of members one node of a data centre
 * tells the others, and each asks for itself when it hears of none.
 *
 * <p>Confined to the event loop. Invariant: a node that hears of no reader waits for changes at the
 * store by itself.
 */
final class StoreReaderCoordinator {
    /** Changes of the configuration within this time cost one call to the store. */
    private static final long CONFIGURATION_REST_MILLISECONDS = 600;

    /** Changes of members within this time cost a reader one call to the store. */
    private static final long READER_MEMBER_REST_MILLISECONDS = 400;

    /**
     * The same for a node that hears of no reader yet: when a whole fleet starts, it joins one by
     * one within some seconds.
     */
    private static final long MEMBER_REST_MILLISECONDS = 2500;

    /** How long an informed node leaves the store alone; less than the store keeps its history. */
    private static final long INFORMED_REST_MILLISECONDS = 12_000;

    private static final long INFORMED_REST_SPREAD_MILLISECONDS = 4000;

    /** Pause after a first failure; doubles with each further one up to the longest. */
    private static final long FIRST_PAUSE_MILLISECONDS = 300;

    private static final int MOST_DOUBLINGS = 4;

    /** Longest pause of a node that has to find out by itself that the store is back. */
    private static final long LONGEST_PAUSE_MILLISECONDS = 1200;

    /** Pause of a table beside another one whose return is awaited. */
    private static final long SECOND_TABLE_PAUSE_MILLISECONDS = 8000;

    /** Nodes of each other data centre that get signs: two, so that one may be lost. */
    private static final int SIGNS_ELSEWHERE = 2;

    /** Time in which a node learns of a configuration by itself, its rest included. */
    private static final long OWN_NEWS_MILLISECONDS = 900;

    /** Nodes that learn at once that the store is back ask it within this time. */
    private static final long RETURN_SPREAD_MILLISECONDS = 400;

    private final NodeId self;
    private final ReaderElection election;
    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final BooleanSupplier storeLost;
    private final BooleanSupplier configurationLost;
    private final Runnable askStoreNow;
    private final Runnable suspectStore;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private boolean informed;
    private boolean reader;

    StoreReaderCoordinator(
            NodeId self,
            FleetDirectory fleet,
            ConfigurationHolder configuration,
            BooleanSupplier storeLost,
            BooleanSupplier configurationLost,
            Runnable askStoreNow,
            Runnable suspectStore,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        this.self = self;
        this.election = new ReaderElection(self, timers.now());
        this.fleet = fleet;
        this.configuration = configuration;
        this.storeLost = storeLost;
        this.configurationLost = configurationLost;
        this.askStoreNow = askStoreNow;
        this.suspectStore = suspectStore;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /** Begins to send signs, or to notice that none come. */
    void start() {
        boolean reads = isReader();
        if (reads != reader) {
            reader = reads;
            log.event("store-reader").with("reads", reads).write();
            tellAll();
        }
        if (reads) {
            sendSigns(fleet::isInRegion);
        }
        noteInformed();
        timers.schedule(ReaderElection.PERIOD_MILLISECONDS, this::start);
    }

    /** A reader sent a sign. */
    void onReaderSign(ReaderSign sign) {
        if (sign.getNodeId().isEmpty()) {
            return;
        }
        NodeId sender = new NodeId(sign.getNodeId());
        if (fleet.find(sender).map(fleet::isInRegion).orElse(true)) {
            election.onHeartbeat(sender, sign.getStoreAnswers(), timers.now());
            noteInformed();
        }
        if (sign.getConfigurationVersion() > configuration.version()) {
            timers.schedule(OWN_NEWS_MILLISECONDS, () -> askForConfiguration(sender, sign));
        }
    }

    /** A newer configuration is in force here. */
    void onConfiguration() {
        if (isReader()) {
            sendSigns(target -> true);
        }
    }

    /** Tells what the former reader may have missed, this node's own record included. */
    private void tellAll() {
        FleetNews.Builder news = FleetNews.newBuilder();
        fleet.all().forEach(target -> news.addMembers(target.member()));
        sendToDataCentre(news.build());
    }

    /** Tells the data centre, if this node reads for it. */
    void sendToDataCentre(FleetNews news) {
        if (isReader()) {
            fleet.inDataCentre().forEach(target -> target.link().send(news));
        }
    }

    /** How closely the configuration is asked for. */
    TableWatch.Pace configurationPace() {
        return new TableWatch.Pace() {
            @Override
            public long restMilliseconds() {
                return CONFIGURATION_REST_MILLISECONDS;
            }

            @Override
            public long pauseMilliseconds(int failures) {
                return pause(failures);
            }
        };
    }

    /** How closely members are asked for. */
    TableWatch.Pace memberPace() {
        return new TableWatch.Pace() {
            @Override
            public long restMilliseconds() {
                if (isInformed()) {
                    return informedRest();
                }
                return reader ? READER_MEMBER_REST_MILLISECONDS : MEMBER_REST_MILLISECONDS;
            }

            @Override
            public long pauseMilliseconds(int failures) {
                boolean awaited = configurationLost.getAsBoolean();
                return awaited ? SECOND_TABLE_PAUSE_MILLISECONDS : pause(failures);
            }
        };
    }

    private boolean isInformed() {
        return !reader && election.hasHealthyReader(timers.now());
    }

    private long informedRest() {
        return INFORMED_REST_MILLISECONDS + random.nextLong(INFORMED_REST_SPREAD_MILLISECONDS);
    }

    private static long pause(int failures) {
        long doubled = FIRST_PAUSE_MILLISECONDS << Math.min(failures - 1, MOST_DOUBLINGS);
        return Math.min(doubled, LONGEST_PAUSE_MILLISECONDS);
    }

    private boolean isReader() {
        if (!fleet.hasSnapshot()) {
            return false;
        }
        List<NodeId> dataCentre = new ArrayList<>();
        fleet.inDataCentre().forEach(target -> dataCentre.add(target.node()));
        return election.isReader(dataCentre, timers.now());
    }

    private void noteInformed() {
        boolean former = informed;
        informed = election.hasHealthyReader(timers.now());
        if (former != informed) {
            log.event("store-informed").with("by_reader", informed).write();
        }
        if (former && !informed) {
            askStoreNow.run();
        } else if (!former && informed && storeLost.getAsBoolean()) {
            timers.schedule(random.nextLong(RETURN_SPREAD_MILLISECONDS), askStoreNow);
        }
    }

    private void askForConfiguration(NodeId sender, ReaderSign sign) {
        if (sign.getConfigurationVersion() > configuration.version()) {
            suspectStore.run();
            FleetRequest request =
                    FleetRequest.newBuilder()
                            .setConfigurationVersion(configuration.version())
                            .setConfigurationOnly(true)
                            .build();
            fleet.find(sender).ifPresent(target -> target.link().send(request));
        }
    }

    /** Other regions hear of changes only: bytes between regions are dear. */
    private void sendSigns(Predicate<FleetTarget> elsewhere) {
        ReaderSign sign =
                ReaderSign.newBuilder()
                        .setNodeId(self.value())
                        .setConfigurationVersion(configuration.version())
                        .setStoreAnswers(!storeLost.getAsBoolean())
                        .build();
        fleet.inDataCentre().forEach(target -> target.link().send(sign));
        firstOfEachOther().stream().filter(elsewhere).forEach(target -> target.link().send(sign));
    }

    /** The nodes of the other data centres that are most likely to be their readers. */
    private Collection<FleetTarget> firstOfEachOther() {
        Map<String, List<FleetTarget>> byDataCentre = new HashMap<>();
        for (FleetTarget target : fleet.inOtherDataCentres()) {
            byDataCentre
                    .computeIfAbsent(target.member().getDataCentre(), name -> new ArrayList<>())
                    .add(target);
        }
        List<FleetTarget> first = new ArrayList<>();
        for (List<FleetTarget> targets : byDataCentre.values()) {
            targets.sort(Comparator.comparingLong(t -> StableHash.of(t.node().value())));
            first.addAll(targets.subList(0, Math.min(SIGNS_ELSEWHERE, targets.size())));
        }
        return first;
    }
}
