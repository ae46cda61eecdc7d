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
 * Decides how often this node polls the store. Every node watches the configuration itself, so that
 * a change is in force in time whichever other nodes fail. Changes of members are read by one node
 * of each data centre, the reader, which sends them to the others; a node that gets no heartbeat of
 * a reader polls for itself.
 *
 * <p>Confined to the event loop. Invariant: a node that gets no heartbeat of a reader waits for
 * changes at the store itself.
 */
final class StoreReaderCoordinator {
    /** Changes of the configuration within this time cost one call to the store. */
    private static final long CONFIGURATION_DELAY_MILLISECONDS = 600;

    /** Changes of members within this time cost a reader one call to the store. */
    private static final long READER_MEMBER_DELAY_MILLISECONDS = 400;

    /**
     * The same for a node that has no reader yet: when a whole fleet starts, its nodes join one by
     * one within some seconds.
     */
    private static final long MEMBER_DELAY_MILLISECONDS = 2500;

    /**
     * Poll delay of a node that is informed by a reader; shorter than the store keeps its history,
     * because after that the node would have to read the whole table again.
     */
    private static final long INFORMED_DELAY_MILLISECONDS = 12_000;

    private static final long INFORMED_DELAY_JITTER_MILLISECONDS = 4000;

    /** Backoff after the first failure; doubles with each further one up to the maximum. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 300;

    private static final int MAX_DOUBLINGS = 4;

    /** Longest backoff of a node that must detect by itself that the store answers again. */
    private static final long MAX_BACKOFF_MILLISECONDS = 1200;

    /**
     * Backoff of the members table while polls of the configuration table detect that the store
     * answers again.
     */
    private static final long SECOND_TABLE_BACKOFF_MILLISECONDS = 8000;

    /** Nodes of each other data centre that get heartbeats: two, so that one may be lost. */
    private static final int HEARTBEATS_PER_OTHER_DATA_CENTRE = 2;

    /**
     * Time for a node to read a new configuration from the store itself, including its poll delay,
     * before it asks a peer.
     */
    private static final long CONFIGURATION_GRACE_MILLISECONDS = 900;

    /** Jitter of the polls of nodes that learn at the same time that the store answers again. */
    private static final long STORE_RETURN_JITTER_MILLISECONDS = 400;

    private final NodeId self;
    private final ReaderElection election;
    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final BooleanSupplier storeLost;
    private final BooleanSupplier configurationLost;
    private final Runnable pollStoreNow;
    private final Runnable rereadStore;
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
            Runnable pollStoreNow,
            Runnable rereadStore,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        this.self = self;
        this.election = new ReaderElection(self, timers.now());
        this.fleet = fleet;
        this.configuration = configuration;
        this.storeLost = storeLost;
        this.configurationLost = configurationLost;
        this.pollStoreNow = pollStoreNow;
        this.rereadStore = rereadStore;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /**
     * Checks from now on at intervals whether this node is the reader, and sends its heartbeats.
     */
    void start() {
        boolean isReaderNow = isReader();
        if (isReaderNow != reader) {
            reader = isReaderNow;
            log.event("store-reader").with("reads", isReaderNow).write();
            sendAllMembers();
        }
        if (isReaderNow) {
            sendHeartbeats(fleet::isInRegion);
        }
        updateInformed();
        timers.schedule(ReaderElection.PERIOD_MILLISECONDS, this::start);
    }

    /** Handles the heartbeat of a reader, which contains its configuration version. */
    void onReaderSign(ReaderSign sign) {
        if (sign.getNodeId().isEmpty()) {
            return;
        }
        NodeId sender = new NodeId(sign.getNodeId());
        if (fleet.find(sender).map(fleet::isInRegion).orElse(true)) {
            election.onHeartbeat(sender, sign.getStoreAnswers(), timers.now());
            updateInformed();
        }
        if (sign.getConfigurationVersion() > configuration.version()) {
            timers.schedule(
                    CONFIGURATION_GRACE_MILLISECONDS, () -> requestConfiguration(sender, sign));
        }
    }

    /** A newer configuration was put in force at this node. */
    void onConfiguration() {
        if (isReader()) {
            sendHeartbeats(target -> true);
        }
    }

    /** Sends all members including this node, because the previous reader may have missed some. */
    private void sendAllMembers() {
        FleetNews.Builder update = FleetNews.newBuilder();
        fleet.all().forEach(target -> update.addMembers(target.member()));
        sendToDataCentre(update.build());
    }

    /** Sends members to the nodes of this data centre, if this node is its reader. */
    void sendToDataCentre(FleetNews update) {
        if (isReader()) {
            fleet.inDataCentre().forEach(target -> target.link().send(update));
        }
    }

    /** How often the configuration is polled. */
    TableWatch.PollPolicy configurationPolicy() {
        return new TableWatch.PollPolicy() {
            @Override
            public long pollDelayMilliseconds() {
                return CONFIGURATION_DELAY_MILLISECONDS;
            }

            @Override
            public long backoffMilliseconds(int failures) {
                return backoff(failures);
            }
        };
    }

    /** How often members are polled. */
    TableWatch.PollPolicy memberPolicy() {
        return new TableWatch.PollPolicy() {
            @Override
            public long pollDelayMilliseconds() {
                if (isInformed()) {
                    return informedDelay();
                }
                return reader ? READER_MEMBER_DELAY_MILLISECONDS : MEMBER_DELAY_MILLISECONDS;
            }

            @Override
            public long backoffMilliseconds(int failures) {
                boolean configurationAwaited = configurationLost.getAsBoolean();
                return configurationAwaited ? SECOND_TABLE_BACKOFF_MILLISECONDS : backoff(failures);
            }
        };
    }

    private boolean isInformed() {
        return !reader && election.hasHealthyReader(timers.now());
    }

    private long informedDelay() {
        return INFORMED_DELAY_MILLISECONDS + random.nextLong(INFORMED_DELAY_JITTER_MILLISECONDS);
    }

    private static long backoff(int failures) {
        long doubled = FIRST_BACKOFF_MILLISECONDS << Math.min(failures - 1, MAX_DOUBLINGS);
        return Math.min(doubled, MAX_BACKOFF_MILLISECONDS);
    }

    private boolean isReader() {
        if (!fleet.hasSnapshot()) {
            return false;
        }
        List<NodeId> dataCentre = new ArrayList<>();
        fleet.inDataCentre().forEach(target -> dataCentre.add(target.node()));
        return election.isReader(dataCentre, timers.now());
    }

    private void updateInformed() {
        boolean wasInformed = informed;
        informed = election.hasHealthyReader(timers.now());
        if (wasInformed != informed) {
            log.event("store-informed").with("by_reader", informed).write();
        }
        if (wasInformed && !informed) {
            pollStoreNow.run();
        } else if (!wasInformed && informed && storeLost.getAsBoolean()) {
            timers.schedule(random.nextLong(STORE_RETURN_JITTER_MILLISECONDS), pollStoreNow);
        }
    }

    private void requestConfiguration(NodeId sender, ReaderSign sign) {
        if (sign.getConfigurationVersion() > configuration.version()) {
            rereadStore.run();
            FleetRequest request =
                    FleetRequest.newBuilder()
                            .setConfigurationVersion(configuration.version())
                            .setConfigurationOnly(true)
                            .build();
            fleet.find(sender).ifPresent(target -> target.link().send(request));
        }
    }

    /**
     * Sends heartbeats; other regions get them only on changes, because traffic between regions is
     * expensive.
     */
    private void sendHeartbeats(Predicate<FleetTarget> otherDataCentreFilter) {
        ReaderSign sign =
                ReaderSign.newBuilder()
                        .setNodeId(self.value())
                        .setConfigurationVersion(configuration.version())
                        .setStoreAnswers(!storeLost.getAsBoolean())
                        .build();
        fleet.inDataCentre().forEach(target -> target.link().send(sign));
        likelyReadersElsewhere().stream()
                .filter(otherDataCentreFilter)
                .forEach(target -> target.link().send(sign));
    }

    /**
     * The nodes of each other data centre that are most likely to be its reader: those with the
     * lowest hashes, as in {@link ReaderElection}.
     */
    private Collection<FleetTarget> likelyReadersElsewhere() {
        Map<String, List<FleetTarget>> byDataCentre = new HashMap<>();
        for (FleetTarget target : fleet.inOtherDataCentres()) {
            byDataCentre
                    .computeIfAbsent(target.member().getDataCentre(), name -> new ArrayList<>())
                    .add(target);
        }
        List<FleetTarget> likelyReaders = new ArrayList<>();
        for (List<FleetTarget> targets : byDataCentre.values()) {
            targets.sort(Comparator.comparingLong(t -> StableHash.of(t.node().value())));
            likelyReaders.addAll(
                    targets.subList(0, Math.min(HEARTBEATS_PER_OTHER_DATA_CENTRE, targets.size())));
        }
        return likelyReaders;
    }
}
