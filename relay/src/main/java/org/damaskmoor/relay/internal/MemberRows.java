package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.machines.StoredRow;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.OwnRecord;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.FleetNews;

/**
 * Leads the store's records of nodes to those that keep them: the directory, this node's own
 * record, and through the reader of a data centre its other nodes.
 *
 * <p>Confined to the event loop. Invariant: only a reader tells others.
 */
final class MemberRows implements TableWatch.Listener {
    private final NodeId self;
    private final FleetDirectory fleet;
    private final OwnRecord ownRecord;
    private final StoreReading reading;

    MemberRows(NodeId self, FleetDirectory fleet, OwnRecord ownRecord, StoreReading reading) {
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
        own.ifPresentOrElse(ownRecord::onStored, ownRecord::onNotStored);
    }

    @Override
    public void onChange(StoredRow row) {
        fleet.onChange(row);
        if (row.key().equals(self.value())) {
            ownRecord.onStored(row);
        }
        if (!row.key().isEmpty()) {
            changed(row)
                    .map(member -> FleetNews.newBuilder().addMembers(member).build())
                    .ifPresent(reading::tell);
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
