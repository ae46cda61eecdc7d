package org.damaskmoor.relay.internal;

import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.relay.internal.fleet.DepartureRecords;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * Tells the entries, this node's own directory and the store when the upstream of this node
 * changes, and takes back from the store what it told before a restart.
 *
 * <p>Confined to the event loop. Invariant: the store is told of each departure.
 */
final class UpstreamPublisher {
    private final NodeId self;
    private final TargetCallHandler target;
    private final Consumer<TargetLoad> broadcast;
    private final FleetDirectory fleet;
    private final OwnRecordPublisher ownRecord;
    private final DepartureRecords departures;
    private final OwnRecordFactory records;
    private final Timers timers;

    /**
     * Creates a publisher.
     *
     * @param broadcast sends a load report to all entries
     */
    UpstreamPublisher(
            NodeId self,
            TargetCallHandler target,
            Consumer<TargetLoad> broadcast,
            FleetDirectory fleet,
            OwnRecordPublisher ownRecord,
            DepartureRecords departures,
            OwnRecordFactory records,
            Timers timers) {
        this.self = self;
        this.target = target;
        this.broadcast = broadcast;
        this.fleet = fleet;
        this.ownRecord = ownRecord;
        this.departures = departures;
        this.records = records;
        this.timers = timers;
    }

    /** The record of this node before its upstream has announced itself. */
    FleetMember firstRecord(ServiceName service) {
        return records.create(service.value(), 0);
    }

    /** Publishes the upstream's current state and load. */
    void publish(TargetLoad load) {
        broadcast.accept(load);
        fleet.find(self).ifPresent(own -> own.updateLoad(load, timers.now()));
        target.upstreamTracker().current().ifPresent(this::publish);
    }

    private void publish(UpstreamAnnouncement upstream) {
        if (target.upstreamTracker().isLeaving()) {
            departures.write(records.createDeparture(upstream));
        } else {
            ownRecord.publish(records.create(upstream.service().value(), upstream.slots()));
        }
    }

    /**
     * Restores the last departure before this node was restarted, if there was one. Until this is
     * called, an announcement may be a late one of an upstream that has left.
     */
    void restoreDeparture(Optional<FleetMember> departure) {
        departure.ifPresent(
                record ->
                        target.upstreamTracker()
                                .restoreDeparture(
                                        new UpstreamId(record.getUpstreamId()),
                                        record.getUpstreamStartEpochMilliseconds(),
                                        timers.now()));
        target.onHistoryKnown();
    }
}
