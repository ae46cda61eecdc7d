package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetRequest;

/**
 * Requests newer versions of the configuration that heartbeats tell of.
 *
 * <p>Confined to the event loop. Invariants: a version is requested at most once within the grace
 * time while its sender is a member; if the sender has left, it is requested from another node.
 */
final class ConfigurationRequests {
    /**
     * Time for a node to get a new configuration from the store or from the sender of a heartbeat,
     * before it asks again.
     */
    private static final long GRACE_MILLISECONDS = 900;

    private final NodeId self;
    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final Runnable catchUp;
    private final Timers timers;
    private final RandomGenerator random;
    private NodeId awaitedSender;
    private long awaitedVersion;
    private long awaitedSince;

    /**
     * Creates an instance without requests.
     *
     * @param catchUp asks the store for a version that did not arrive in time
     */
    ConfigurationRequests(
            NodeId self,
            FleetDirectory fleet,
            ConfigurationHolder configuration,
            Runnable catchUp,
            Timers timers,
            RandomGenerator random) {
        this.self = self;
        this.fleet = fleet;
        this.configuration = configuration;
        this.catchUp = catchUp;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Requests a version once, and again if it has not arrived in time, or if its sender has left.
     *
     * @param sender the node that has the version
     * @param atOnce whether this node does not wait for the version at the store
     */
    void onNewerVersion(NodeId sender, long version, boolean atOnce) {
        long now = timers.now();
        if (version == awaitedVersion
                && now - awaitedSince < GRACE_MILLISECONDS
                && isSenderKnown()) {
            return;
        }
        awaitedSender = sender;
        awaitedVersion = version;
        awaitedSince = now;
        if (atOnce) {
            request(sender);
        }
        timers.schedule(GRACE_MILLISECONDS, () -> onGraceEnded(sender, version));
    }

    private boolean isSenderKnown() {
        return fleet.find(awaitedSender).isPresent();
    }

    private void onGraceEnded(NodeId sender, long version) {
        if (version > configuration.version()) {
            awaitedVersion = version;
            awaitedSince = timers.now();
            catchUp.run();
            request(sender);
        }
    }

    private void request(NodeId sender) {
        FleetRequest request =
                FleetRequest.newBuilder()
                        .setConfigurationVersion(configuration.version())
                        .setConfigurationOnly(true)
                        .setAcceptsCompressed(true)
                        .build();
        fleet.find(sender)
                .or(this::anyPeerInDataCentre)
                .ifPresent(target -> target.link().send(request));
    }

    private Optional<FleetTarget> anyPeerInDataCentre() {
        List<FleetTarget> peers =
                fleet.inDataCentre().stream()
                        .filter(target -> !target.node().equals(self))
                        .toList();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(random.nextInt(peers.size())));
    }
}
