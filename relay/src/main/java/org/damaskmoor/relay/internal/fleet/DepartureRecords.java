package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetMember;

/**
 * Keeps at the store which incarnation of this node's upstream left last, so that a restarted node
 * does not take a late announcement of it for a new upstream. The records stand in the table of the
 * members, which each node reads at its start anyway.
 *
 * <p>Confined to the event loop. Invariants: one record for each node; the reader of a data centre
 * removes its records after {@link #RETENTION_MILLISECONDS}.
 */
public final class DepartureRecords {
    private static final String KEY_PREFIX = "departed/";
    private static final long RETRY_DELAY_MILLISECONDS = 500;

    /** Longer than an announcement may be delayed, and than a VM needs to restart its node. */
    private static final long RETENTION_MILLISECONDS = 300_000;

    private final String key;
    private final DataCentreName dataCentre;
    private final RowStore store;
    private final BooleanSupplier isReader;
    private final Timers timers;
    private final EventLog log;
    private FleetMember last = FleetMember.getDefaultInstance();
    private CompletableFuture<Void> written = CompletableFuture.completedFuture(null);

    /**
     * Creates the records of a node.
     *
     * @param isReader whether this node is the reader of its data centre
     */
    public DepartureRecords(
            NodeId self,
            DataCentreName dataCentre,
            RowStore store,
            BooleanSupplier isReader,
            Timers timers,
            EventLog log) {
        this.key = KEY_PREFIX + self.value();
        this.dataCentre = dataCentre;
        this.store = store;
        this.isReader = isReader;
        this.timers = timers;
        this.log = log;
    }

    /** Whether the row is a record of a departure. */
    public static boolean isDeparture(StoredRow row) {
        return row.key().startsWith(KEY_PREFIX);
    }

    /** Writes that an incarnation has left, unless it was written before. */
    public void write(FleetMember departure) {
        if (!departure.equals(last)) {
            last = departure;
            written = new CompletableFuture<>();
            write(departure, written);
        }
    }

    /** The store has returned from an older copy: writes the last record again, if there is one. */
    public void onStoreRestored() {
        if (!last.equals(FleetMember.getDefaultInstance())) {
            written = new CompletableFuture<>();
            write(last, written);
        }
    }

    /** Whether the store has the last record. */
    public boolean isWritten() {
        return written.isDone();
    }

    private void write(FleetMember departure, CompletableFuture<Void> result) {
        store.put(FleetDirectory.TABLE, key, departure.toByteString())
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                log.event("departure-written")
                                        .with("upstream", departure.getUpstreamId())
                                        .write();
                                result.complete(null);
                            } else {
                                timers.schedule(
                                        RETRY_DELAY_MILLISECONDS, () -> write(departure, result));
                            }
                        });
    }

    /** The record of this node, if there is one among all rows of the table. */
    public Optional<FleetMember> own(List<StoredRow> rows) {
        return rows.stream()
                .filter(row -> row.key().equals(key) && !row.removed())
                .findFirst()
                .flatMap(this::parse);
    }

    /** Handles a changed row; schedules its removal if it is a departure in this data centre. */
    public void onRow(StoredRow row) {
        if (!isDeparture(row) || row.removed()) {
            return;
        }
        if (isInDataCentre(row)) {
            timers.schedule(RETENTION_MILLISECONDS, () -> remove(row, "departure-removed"));
        }
    }

    /**
     * Removes the record of a node in this data centre that has left, which has returned with an
     * older copy of the store.
     */
    public void removeReturned(StoredRow row) {
        if (isInDataCentre(row)) {
            remove(row, "former-member-removed");
        }
    }

    private boolean isInDataCentre(StoredRow row) {
        return parse(row)
                .map(record -> record.getDataCentre().equals(dataCentre.value()))
                .orElse(false);
    }

    private void remove(StoredRow row, String event) {
        if (!isReader.getAsBoolean()) {
            return;
        }
        store.remove(FleetDirectory.TABLE, row.key(), row.version())
                .whenComplete(
                        (removed, failure) ->
                                log.event(event)
                                        .with("key", row.key())
                                        .with("removed", failure == null && removed)
                                        .write());
    }

    private Optional<FleetMember> parse(StoredRow row) {
        try {
            return Optional.of(FleetMember.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException invalid) {
            log.event("row-unreadable")
                    .with("key", row.key())
                    .with("cause", invalid.getMessage())
                    .write();
            return Optional.empty();
        }
    }
}
