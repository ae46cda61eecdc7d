package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.machines.StoredRow;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.OwnRecord;
import org.damaskmoor.relay.internal.fleet.TableWatch;
import org.damaskmoor.schema.link.FleetMember;

/**
 * Tells the store's records of members to the directory, the own one to its writer, and, on the
 * readers of a region, changes to the other nodes.
 *
 * <p>Confined to the event loop.
 */
final class MemberRows implements TableWatch.Listener {
    /** Changes of members within this time cost one call to the store. */
    private static final long READER_REST_MILLISECONDS = 400;

    /** How long a node that hears of members from its region's readers leaves the store alone. */
    private static final long OTHERS_REST_MILLISECONDS = 8000;

    private final NodeId self;
    private final FleetDirectory fleet;
    private final OwnRecord ownRecord;
    private final RandomGenerator random;

    MemberRows(NodeId self, FleetDirectory fleet, OwnRecord ownRecord, RandomGenerator random) {
        this.self = self;
        this.fleet = fleet;
        this.ownRecord = ownRecord;
        this.random = random;
    }

    /** Milliseconds between a change and the next question. */
    long rest() {
        long rest = fleet.isReader() ? READER_REST_MILLISECONDS : OTHERS_REST_MILLISECONDS;
        return rest / 2 + random.nextLong(rest);
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
        } else if (fleet.isReader() && !row.key().isEmpty()) {
            changed(row).ifPresent(fleet::tellRegion);
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
