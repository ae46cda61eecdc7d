package org.damaskmoor.relay.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;

/**
 * Requests the configuration, members and crash records from peers while the store does not answer
 * this node.
 *
 * <p>Confined to the event loop. Invariant: nothing is requested while the store answers.
 */
final class PeerSync {
    /** Interval between requests: a change must be in force within a second or two. */
    private static final long REQUEST_INTERVAL_MILLISECONDS = 600;

    /** Peers asked each time: two, so that one may itself be cut off. */
    private static final int PEERS_PER_REQUEST = 2;

    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final NodeQuarantine quarantine;
    private final BooleanSupplier storeLost;
    private final Timers timers;
    private final RandomGenerator random;
    private final List<CallLink> seeds = new ArrayList<>();

    PeerSync(
            FleetDirectory fleet,
            ConfigurationHolder configuration,
            NodeQuarantine quarantine,
            BooleanSupplier storeLost,
            Timers timers,
            RandomGenerator random) {
        this.fleet = fleet;
        this.configuration = configuration;
        this.quarantine = quarantine;
        this.storeLost = storeLost;
        this.timers = timers;
        this.random = random;
    }

    /** Starts to check whether the store answers. */
    void start(List<String> seedHosts, int linkPort, Function<InetSocketAddress, CallLink> links) {
        for (String seed : seedHosts) {
            int colon = seed.lastIndexOf(':');
            String host = colon < 0 ? seed : seed.substring(0, colon);
            seeds.add(links.apply(new InetSocketAddress(host, linkPort)));
        }
        requestUpdates();
        timers.repeat(REQUEST_INTERVAL_MILLISECONDS, this::requestUpdates);
    }

    private void requestUpdates() {
        if (storeLost.getAsBoolean()) {
            FleetRequest request =
                    FleetRequest.newBuilder()
                            .setConfigurationVersion(configuration.version())
                            .setAcceptsCompressed(true)
                            .build();
            List<CallLink> links = candidateLinks();
            for (int i = 0; i < PEERS_PER_REQUEST && !links.isEmpty(); i++) {
                links.remove(random.nextInt(links.size())).send(request);
            }
        }
    }

    private List<CallLink> candidateLinks() {
        List<CallLink> open = new ArrayList<>();
        List<CallLink> closed = new ArrayList<>();
        for (FleetTarget target : fleet.all()) {
            if (target.link() instanceof LocalLink) {
                continue;
            }
            (target.link().isUp() ? open : closed).add(target.link());
        }
        if (!open.isEmpty()) {
            return open;
        }
        closed.addAll(seeds);
        return closed;
    }

    /** Creates the answer to a peer that requests what this node knows of the fleet. */
    FleetNews createFleetNews(FleetRequest request) {
        FleetNews.Builder update = FleetNews.newBuilder();
        if (configuration.version() > request.getConfigurationVersion()) {
            if (request.getAcceptsCompressed()) {
                update.setCompressedConfiguration(configuration.compressedText());
            } else {
                update.setConfiguration(configuration.text());
            }
        }
        if (!request.getConfigurationOnly()) {
            update.addAllCrashes(quarantine.records());
            fleet.all().forEach(target -> update.addMembers(target.member()));
        }
        return update.build();
    }
}
