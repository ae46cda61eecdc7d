package org.damaskmoor.relay.internal.entry;

import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.placement.RouteStatistics;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Dependencies that all requests of an entry share. Immutable; its parts are confined to the event
 * loop.
 *
 * @param service service of this VM's upstream, sent as the caller service of each call
 */
public record EntryContext(
        ServiceName service,
        FleetDirectory fleet,
        TargetChooser chooser,
        RouteStatistics statistics,
        RetryBudgets budgets,
        EntryEgress egress,
        Timers timers,
        RandomGenerator random,
        EventLog log,
        RelayMetrics metrics) {}
