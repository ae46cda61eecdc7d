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
 * Asks peers for what the store would have told, while the store does not answer this node.
 *
 * <p>Confined to the event loop. Invariant: nothing is asked while the store answers.
 */
final class PeerSync {
    /** How often peers are asked: a change is to be in force within a second or two. */
    private static final long PERIOD_MILLISECONDS = 600;

    /** Peers asked each time, so that one that is itself cut off does not matter. */
    private static final int PEERS = 2;

    private final FleetDirectory fleet;
    private final ConfigurationHolder configuration;
    private final NodeQuarantine crashes;
    private final BooleanSupplier storeLost;
    private final Timers timers;
    private final RandomGenerator random;
    private final List<CallLink> seeds = new ArrayList<>();

    PeerSync(
            FleetDirectory fleet,
            ConfigurationHolder configuration,
            NodeQuarantine crashes,
            BooleanSupplier storeLost,
            Timers timers,
            RandomGenerator random) {
        this.fleet = fleet;
        this.configuration = configuration;
        this.crashes = crashes;
        this.storeLost = storeLost;
        this.timers = timers;
        this.random = random;
    }

    /** Begins to watch whether the store answers. */
    void start(List<String> seedHosts, int linkPort, Function<InetSocketAddress, CallLink> links) {
        for (String seed : seedHosts) {
            int colon = seed.lastIndexOf(':');
            String host = colon < 0 ? seed : seed.substring(0, colon);
            seeds.add(links.apply(new InetSocketAddress(host, linkPort)));
        }
        ask();
    }

    private void ask() {
        if (storeLost.getAsBoolean()) {
            FleetRequest request =
                    FleetRequest.newBuilder()
                            .setConfigurationVersion(configuration.version())
                            .build();
            List<CallLink> links = reachable();
            for (int i = 0; i < PEERS && !links.isEmpty(); i++) {
                links.remove(random.nextInt(links.size())).send(request);
            }
        }
        timers.schedule(PERIOD_MILLISECONDS, this::ask);
    }

    private List<CallLink> reachable() {
        List<CallLink> up = new ArrayList<>();
        List<CallLink> others = new ArrayList<>();
        for (FleetTarget target : fleet.all()) {
            if (target.link() instanceof LocalLink) {
                continue;
            }
            (target.link().isUp() ? up : others).add(target.link());
        }
        if (!up.isEmpty()) {
            return up;
        }
        others.addAll(seeds);
        return others;
    }

    /** What this node knows, for a peer that asks. */
    FleetNews createFleetNews(FleetRequest request) {
        FleetNews.Builder news = FleetNews.newBuilder();
        if (configuration.version() > request.getConfigurationVersion()) {
            news.setConfiguration(configuration.text());
        }
        if (!request.getConfigurationOnly()) {
            news.addAllCrashes(crashes.records());
            fleet.all().forEach(target -> news.addMembers(target.member()));
        }
        return news.build();
    }
}
