package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.FleetNews;

/**
 * Leads the store's records of nodes to those that keep them: the directory, this node's own
 * record, and through the reader of a data centre its other nodes.
 *
 * <p>Confined to the event loop. Invariant: only a reader tells others.
 */
final class MemberTableListener implements TableWatch.Listener {
    private final NodeId self;
    private final FleetDirectory fleet;
    private final OwnRecordPublisher ownRecord;
    private final StoreReaderCoordinator reading;

    MemberTableListener(
            NodeId self,
            FleetDirectory fleet,
            OwnRecordPublisher ownRecord,
            StoreReaderCoordinator reading) {
        this.self = self;
        this.fleet = fleet;
        this.ownRecord = ownRecord;
        this.reading = reading;
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        fleet.onSnapshot(rows);
        Optional<StoredRow> own =
                rows.stream().filter(row -> row.key().equals(self.value())).findFirst();
        own.ifPresentOrElse(ownRecord::onRow, ownRecord::onRowAbsent);
    }

    @Override
    public void onChange(StoredRow row) {
        fleet.onChange(row);
        if (row.key().equals(self.value())) {
            ownRecord.onRow(row);
        }
        if (!row.key().isEmpty()) {
            changed(row)
                    .map(member -> FleetNews.newBuilder().addMembers(member).build())
                    .ifPresent(reading::sendToDataCentre);
        }
    }

    private Optional<FleetMember> changed(StoredRow row) {
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
