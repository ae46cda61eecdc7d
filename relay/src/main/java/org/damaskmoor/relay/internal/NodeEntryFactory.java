package org.damaskmoor.relay.internal;

import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.placement.RouteStatistics;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.entry.EntryContext;
import org.damaskmoor.relay.internal.entry.EntryEgress;
import org.damaskmoor.relay.internal.entry.EntryRequestHandler;
import org.damaskmoor.relay.internal.entry.QuarantinedRequests;
import org.damaskmoor.relay.internal.entry.RequestQuotas;
import org.damaskmoor.relay.internal.entry.RetryBudgets;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.time.Timers;

/** Creates the handler of callers' requests at their entry. Confined to the event loop. */
final class NodeEntryFactory {
    private final RelaySettings settings;
    private final FleetDirectory fleet;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private final RelayMetrics metrics;

    NodeEntryFactory(
            RelaySettings settings,
            FleetDirectory fleet,
            Timers timers,
            RandomGenerator random,
            EventLog log,
            RelayMetrics metrics) {
        this.settings = settings;
        this.fleet = fleet;
        this.timers = timers;
        this.random = random;
        this.log = log;
        this.metrics = metrics;
    }

    EntryRequestHandler create(
            Incarnation incarnation,
            QuarantinedRequests quarantined,
            LongPredicate freshness,
            RequestQuotas quotas) {
        EntryContext context =
                new EntryContext(
                        settings.service(),
                        fleet,
                        new TargetChooser(random),
                        new RouteStatistics(),
                        new RetryBudgets(
                                settings.retryRatio(),
                                settings.retrySlack(),
                                settings.retryWindowMilliseconds()),
                        new EntryEgress(settings.egressControl(), fleet, timers, log, metrics),
                        timers,
                        random,
                        log,
                        metrics);
        return new EntryRequestHandler(
                settings.node(),
                incarnation,
                context,
                quarantined,
                freshness,
                settings.revocationMilliseconds().isPresent(),
                quotas);
    }
}
