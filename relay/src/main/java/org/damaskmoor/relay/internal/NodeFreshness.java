package org.damaskmoor.relay.internal;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.StoreEra;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.revocation.FreshnessRefresher;
import org.damaskmoor.relay.internal.revocation.FreshnessTracker;
import org.damaskmoor.relay.internal.time.Timers;

/** Creates what proves that the configuration of a node is fresh. Confined to the event loop. */
final class NodeFreshness {
    private static final long UNKNOWN_AGE = -1;

    private final Supplier<ConfigurationHolder> configuration;
    private final FreshnessTracker tracker;

    NodeFreshness(
            RelaySettings settings,
            Timers timers,
            StoreEra storeEra,
            Supplier<ConfigurationHolder> configuration,
            RelayMetrics metrics) {
        this.configuration = configuration;
        this.tracker =
                new FreshnessTracker(
                        settings.revocationMilliseconds(),
                        timers,
                        System::currentTimeMillis,
                        storeEra::current,
                        () -> configuration.get().version(),
                        this::requiresKeys);
        metrics.gauge(
                "freshness-proof-age-ms", () -> tracker.ageMilliseconds().orElse(UNKNOWN_AGE));
    }

    private boolean requiresKeys() {
        return configuration
                .get()
                .table()
                .map(table -> table.tenants().requiresKeys())
                .orElse(false);
    }

    FreshnessTracker tracker() {
        return tracker;
    }

    FreshnessRefresher createRefresher(
            RowStore store,
            TableWatch configurationWatch,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        return new FreshnessRefresher(
                tracker, store, configurationWatch::catchUp, timers, random, log);
    }
}
