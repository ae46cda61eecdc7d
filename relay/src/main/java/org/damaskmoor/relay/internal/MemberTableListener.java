package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.fleet.DepartureRecords;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.FleetNews;

/**
 * Passes member rows of the store to the fleet directory, to the publisher of this node's record
 * and, if this node is the reader, to the other nodes of its data centre.
 *
 * <p>Confined to the event loop. Invariant: only a reader sends rows to other nodes.
 */
final class MemberTableListener implements TableWatch.Listener {
    private final NodeId self;
    private final FleetDirectory fleet;
    private final OwnRecordPublisher ownRecordPublisher;
    private final StoreReaderCoordinator storeReader;
    private final DepartureRecords departures;
    private final Consumer<Optional<FleetMember>> onOwnDeparture;

    /**
     * Creates a listener.
     *
     * @param onOwnDeparture receives the last departure of this node's upstream, if there is a
     *     record of one, whenever the whole table was read
     */
    MemberTableListener(
            NodeId self,
            FleetDirectory fleet,
            OwnRecordPublisher ownRecordPublisher,
            StoreReaderCoordinator storeReader,
            DepartureRecords departures,
            Consumer<Optional<FleetMember>> onOwnDeparture) {
        this.self = self;
        this.fleet = fleet;
        this.ownRecordPublisher = ownRecordPublisher;
        this.storeReader = storeReader;
        this.departures = departures;
        this.onOwnDeparture = onOwnDeparture;
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        fleet.onSnapshot(rows);
        onOwnDeparture.accept(departures.own(rows));
        rows.forEach(departures::onRow);
        rows.stream().filter(fleet::hasReturned).forEach(departures::removeReturned);
        Optional<StoredRow> ownRow =
                rows.stream().filter(row -> row.key().equals(self.value())).findFirst();
        ownRow.ifPresentOrElse(ownRecordPublisher::onRow, ownRecordPublisher::onRowAbsent);
    }

    @Override
    public void onChange(StoredRow row) {
        fleet.onChange(row);
        departures.onRow(row);
        if (row.key().equals(self.value())) {
            ownRecordPublisher.onRow(row);
        }
        if (!row.key().isEmpty() && !DepartureRecords.isDeparture(row)) {
            changedMember(row)
                    .map(member -> FleetNews.newBuilder().addMembers(member).build())
                    .ifPresent(storeReader::sendToDataCentre);
        }
    }

    private Optional<FleetMember> changedMember(StoredRow row) {
        if (!row.removed()) {
            return fleet.find(new NodeId(row.key())).map(FleetTarget::member);
        }
        return Optional.of(
                FleetMember.newBuilder()
                        .setNodeId(row.key())
                        .setIncarnation(Long.MAX_VALUE)
                        .setDeparted(true)
                        .build());
    }
}
