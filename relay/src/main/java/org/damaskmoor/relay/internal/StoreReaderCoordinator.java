package org.damaskmoor.relay.internal;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.election.DigestComparison;
import org.damaskmoor.core.election.ReaderElection;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.HttpRowStore;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.EvacuationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.StoreEra;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.revocation.FreshnessTracker;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * Decides when this node calls the store, so that the number of calls does not grow with the fleet.
 *
 * <p>One node of each data centre, the reader, waits for changes at the store and tells the others.
 * Its heartbeats carry the version of its configuration and a digest of its members; a node that
 * differs requests the configuration from the sender, and reads the members itself if the
 * difference lasts. The next node in rank also waits for the configuration, so that it does not
 * depend on one connection to the store. All other nodes call the store only to start, to write
 * their own record, and while they hear of no reader that the store has answered recently.
 *
 * <p>Confined to the event loop. Invariants: a node that hears of no healthy reader waits for
 * changes at the store itself; a heartbeat says that the store answers only if it has answered its
 * sender within {@link #MAX_ANSWER_AGE_MILLISECONDS}.
 */
final class StoreReaderCoordinator {
    /** Changes of the configuration within this time cost one call to the store. */
    private static final long CONFIGURATION_DELAY_MILLISECONDS = 600;

    /**
     * The same while this node joins; a change that follows another at once must still be in force
     * in time.
     */
    private static final long JOINING_CONFIGURATION_DELAY_MILLISECONDS = 1500;

    /** Changes of members within this time cost a reader one call to the store. */
    private static final long READER_MEMBER_DELAY_MILLISECONDS = 400;

    /**
     * The same for a node that has no reader yet: when a whole fleet starts, its nodes join one by
     * one within some seconds.
     */
    private static final long MEMBER_DELAY_MILLISECONDS = 2500;

    /**
     * Time for which a node that the store did not know before neither becomes a reader nor waits
     * for members, because the first nodes of a new fleet do not know each other yet.
     */
    private static final long JOIN_MILLISECONDS = 3000;

    /** Longest wait for a change in one call; the store answers sooner if there is one. */
    private static final Duration WATCH_WAIT = HttpRowStore.MAX_WATCH_WAIT;

    /**
     * The same for the reader, whose silent connection would leave its data centre on old data: the
     * end of each call shows that the store still answers.
     */
    private static final Duration READER_WATCH_WAIT = Duration.ofSeconds(4);

    /**
     * The same for the reader after a pause, during which the store may have been restored. With
     * the pause, it must leave time for a change to be in force within 2.5 seconds.
     */
    private static final Duration READER_WATCH_WAIT_AFTER_PAUSE = Duration.ofMillis(1200);

    /** Age of the last answer up to which the store counts as answering; a wait and some delay. */
    private static final long MAX_ANSWER_AGE_MILLISECONDS = 5000;

    /** Backoff after the first failure; doubles with each further one up to the maximum. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 300;

    private static final int MAX_DOUBLINGS = 4;

    /** Longest backoff of the nodes that detect for their data centre that the store is back. */
    private static final long READER_MAX_BACKOFF_MILLISECONDS = 1200;

    /** Longest backoff of the other nodes, which also hear from a reader that the store is back. */
    private static final long MAX_BACKOFF_MILLISECONDS = 2400;

    /**
     * Backoff of the members table while polls of the configuration table detect that the store
     * answers again.
     */
    private static final long SECOND_TABLE_BACKOFF_MILLISECONDS = 8000;

    /** Ranks that wait for the configuration at the store: the reader and one more. */
    private static final int CONFIGURATION_READERS = 2;

    /** Longest backoff of a reader if requests are refused without news of the store. */
    private static final long FRESHNESS_MAX_BACKOFF_MILLISECONDS = 600;

    /** Jitter of the polls of nodes that learn at the same time that the store answers again. */
    private static final long STORE_RETURN_JITTER_MILLISECONDS = 400;

    private final NodeId self;
    private final ReaderElection election;
    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final EvacuationHolder evacuations;
    private final ConfigurationRequests requests;
    private final StoreEra storeEra;
    private final StoreWatches watches;
    private final FreshnessTracker freshness;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private final long startedAt;
    private final DigestComparison digests = new DigestComparison();
    private boolean informed;
    private boolean reader;
    private boolean readsConfiguration = true;

    StoreReaderCoordinator(
            NodeId self,
            FleetDirectory fleet,
            ConfigurationHolder configuration,
            EvacuationHolder evacuations,
            StoreEra storeEra,
            StoreWatches watches,
            FreshnessTracker freshness,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        this.self = self;
        this.startedAt = timers.now();
        this.election = new ReaderElection(self, startedAt);
        this.fleet = fleet;
        this.configuration = configuration;
        this.evacuations = evacuations;
        this.requests =
                new ConfigurationRequests(
                        self, fleet, configuration, watches::catchUp, timers, random);
        this.storeEra = storeEra;
        this.watches = watches;
        this.freshness = freshness;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /**
     * Checks from now on at intervals whether this node is the reader, and sends its heartbeats.
     */
    void start() {
        check();
        timers.repeat(ReaderElection.PERIOD_MILLISECONDS, this::check);
    }

    private void check() {
        updateRole();
        if (reader || (isSubstitute() && !isJoining())) {
            sendHeartbeats(fleet::isInRegion);
        }
        updateInformed();
    }

    private void updateRole() {
        List<NodeId> dataCentre = dataCentre();
        boolean mayRead = fleet.hasSnapshot() && !isJoining();
        boolean readBefore = readsConfiguration;
        readsConfiguration = mayRead && election.rank(dataCentre) < CONFIGURATION_READERS;
        if (readsConfiguration && !readBefore) {
            watches.pollConfigurationNow();
        }
        boolean wasReader = reader;
        reader = mayRead && election.isReader(dataCentre, timers.now());
        if (reader == wasReader) {
            return;
        }
        log.event("store-reader").with("reads", reader).write();
        if (reader && !isStoreAnswering()) {
            watches.catchUp();
        }
        if (reader) {
            watches.pollNow();
        }
        sendAllMembers();
    }

    /** Whether the readers before this node are refused by the store, which answers this node. */
    private boolean isSubstitute() {
        return freshness.isNeeded()
                && isStoreAnswering()
                && election.isSubstitute(dataCentre(), timers.now());
    }

    private List<NodeId> dataCentre() {
        return fleet.inDataCentre().stream().map(FleetTarget::node).toList();
    }

    private boolean isJoining() {
        return !fleet.wasKnownBefore() && timers.now() - startedAt < JOIN_MILLISECONDS;
    }

    private boolean isStoreAnswering() {
        return !watches.isStoreLost() && watches.wasAnsweredWithin(MAX_ANSWER_AGE_MILLISECONDS);
    }

    /** Handles the heartbeat of a reader, which contains its configuration version. */
    void onReaderSign(ReaderSign sign) {
        if (sign.getNodeId().isEmpty()) {
            return;
        }
        storeEra.onEra(sign.getStoreEra());
        freshness.onHeartbeat(sign);
        NodeId sender = new NodeId(sign.getNodeId());
        if (fleet.find(sender).map(fleet::isInRegion).orElse(true)) {
            election.onHeartbeat(sender, sign.getStoreAnswers(), timers.now());
            updateInformed();
        }
        if (sign.getConfigurationVersion() > configuration.version()) {
            requests.onNewerVersion(sender, sign.getConfigurationVersion(), isResting());
        }
        if (sign.getMembersDigest() != 0 && sign.getStoreAnswers()) {
            compareMembers(sign.getMembersDigest());
        }
    }

    private void compareMembers(long readersDigest) {
        boolean mustRead = !reader && digests.onDigest(fleet.digest(), readersDigest, timers.now());
        if (mustRead && informed) {
            log.event("members-differ").with("members", fleet.all().size()).write();
            watches.rereadMembers();
        }
    }

    /** A newer configuration or evacuation was put in force at this node. */
    void onOperatorChange() {
        if (reader || readsConfiguration) {
            sendHeartbeats(target -> true);
        }
    }

    /** The store has returned from an older copy. */
    void onStoreRestored() {
        freshness.reset();
    }

    /** The store held a version as the newest at a time of its clock. */
    void onCurrentVersion(long version, long storeTimeMilliseconds) {
        boolean wasOverdue = freshness.isOverdue();
        freshness.onConfirmed(version, storeTimeMilliseconds);
        if (reader && wasOverdue && !freshness.isOverdue()) {
            sendHeartbeats(fleet::isInRegion);
        }
    }

    /** Whether this node is the reader of its data centre. */
    boolean isReader() {
        return reader;
    }

    /** Whether a reader tells this node of changes, so that it need not call the store. */
    boolean isInformed() {
        return !reader && informed;
    }

    private boolean isResting() {
        return isInformed() && !readsConfiguration && configuration.version() > 0;
    }

    /** Sends all members including this node, because the previous reader may have missed some. */
    private void sendAllMembers() {
        FleetNews.Builder update = FleetNews.newBuilder();
        fleet.all().forEach(target -> update.addMembers(target.member()));
        sendToDataCentre(update.build());
    }

    /** Sends members to the nodes of this data centre, if this node is its reader. */
    void sendToDataCentre(FleetNews update) {
        if (reader) {
            fleet.inDataCentre().forEach(target -> target.link().send(update));
        }
    }

    /** How often the configuration is polled. */
    TableWatch.PollPolicy configurationPolicy() {
        return new TableWatch.PollPolicy() {
            @Override
            public long pollDelayMilliseconds() {
                return isJoining()
                        ? JOINING_CONFIGURATION_DELAY_MILLISECONDS
                        : CONFIGURATION_DELAY_MILLISECONDS;
            }

            @Override
            public Duration watchWait() {
                return freshness.limitWait(reader ? READER_WATCH_WAIT : WATCH_WAIT, isInformed());
            }

            @Override
            public Duration watchWaitAfterPause() {
                return freshness.limitWaitAfterPause(
                        reader ? READER_WATCH_WAIT_AFTER_PAUSE : WATCH_WAIT, isInformed());
            }

            @Override
            public boolean isResting() {
                return StoreReaderCoordinator.this.isResting();
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
                if (isJoining()) {
                    return JoinDelay.milliseconds(
                            configuration.table().orElse(null),
                            fleet.all().size(),
                            JOIN_MILLISECONDS);
                }
                return reader ? READER_MEMBER_DELAY_MILLISECONDS : MEMBER_DELAY_MILLISECONDS;
            }

            @Override
            public Duration watchWait() {
                return WATCH_WAIT;
            }

            @Override
            public boolean isResting() {
                return isInformed() && fleet.hasSnapshot();
            }

            @Override
            public long backoffMilliseconds(int failures) {
                boolean configurationAwaited = watches.isConfigurationLost();
                return configurationAwaited ? SECOND_TABLE_BACKOFF_MILLISECONDS : backoff(failures);
            }
        };
    }

    private long backoff(int failures) {
        long doubled = FIRST_BACKOFF_MILLISECONDS << Math.min(failures - 1, MAX_DOUBLINGS);
        if (!reader && !readsConfiguration) {
            return Math.min(doubled, MAX_BACKOFF_MILLISECONDS);
        }
        return Math.min(
                doubled,
                freshness.isNeeded()
                        ? FRESHNESS_MAX_BACKOFF_MILLISECONDS
                        : READER_MAX_BACKOFF_MILLISECONDS);
    }

    private void updateInformed() {
        boolean wasInformed = informed;
        informed = election.hasHealthyReader(timers.now());
        if (wasInformed == informed) {
            return;
        }
        log.event("store-informed").with("by_reader", informed).write();
        boolean started = fleet.hasSnapshot() && configuration.version() > 0;
        if (!informed) {
            watches.pollNow();
        } else if (!started || readsConfiguration) {
            timers.schedule(random.nextLong(STORE_RETURN_JITTER_MILLISECONDS), watches::pollNow);
        }
    }

    /**
     * Sends heartbeats; other regions get them only on changes, because traffic between regions is
     * expensive.
     */
    private void sendHeartbeats(Predicate<FleetTarget> otherDataCentreFilter) {
        ReaderSign.Builder content =
                ReaderSign.newBuilder()
                        .setNodeId(self.value())
                        .setConfigurationVersion(configuration.version())
                        .setStoreAnswers(isStoreAnswering())
                        .setStoreEra(storeEra.current())
                        .setStoreTimeMilliseconds(freshness.provenStoreTime());
        evacuations.message().ifPresent(content::setDirectives);
        ReaderSign sign = content.build();
        ReaderSign signWithDigest =
                reader ? sign.toBuilder().setMembersDigest(fleet.digest()).build() : sign;
        fleet.inDataCentre().forEach(target -> target.link().send(signWithDigest));
        LikelyReaders.of(fleet.inOtherDataCentres(), otherDataCentreFilter)
                .forEach(target -> target.link().send(sign));
    }
}
