package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetMember;

/**
 * Keeps this node's member record in the store: writes it while the store holds a different one,
 * and removes it when the node leaves permanently.
 *
 * <p>Confined to the event loop. Invariant: at most one write is in progress; a write is repeated
 * until the store holds the wanted record, and again if the store has lost it.
 */
public final class OwnRecordPublisher {
    private static final long RETRY_DELAY_MILLISECONDS = 300;

    /** Removals that are tried, each with the version that the record has by then. */
    private static final int MAX_REMOVALS = 3;

    /** Spreads the calls of all nodes that learn at the same time that the store was restored. */
    private static final long VERIFICATION_JITTER_MILLISECONDS = 400;

    private final NodeId self;
    private final RowStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private FleetMember wanted = FleetMember.getDefaultInstance();
    private FleetMember stored = FleetMember.getDefaultInstance();
    private boolean storedKnown;
    private long storedVersion;
    private boolean writing;
    private boolean leaving;

    public OwnRecordPublisher(
            NodeId self, RowStore store, Timers timers, RandomGenerator random, EventLog log) {
        this.self = self;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /** The row of this node was read from the store or has changed. */
    public void onRow(StoredRow row) {
        storedKnown = true;
        storedVersion = row.removed() ? 0 : row.version();
        try {
            stored =
                    row.removed()
                            ? FleetMember.getDefaultInstance()
                            : FleetMember.parseFrom(row.value());
        } catch (InvalidProtocolBufferException invalid) {
            log.event("row-unreadable").with("key", row.key()).write();
            stored = FleetMember.getDefaultInstance();
        }
        writeIfNeeded();
    }

    /** The store has no row of this node. */
    public void onRowAbsent() {
        storedKnown = true;
        stored = FleetMember.getDefaultInstance();
        writeIfNeeded();
    }

    /** The store has returned from an older copy, which may not hold what was written. */
    public void onStoreRestored() {
        timers.schedule(random.nextLong(VERIFICATION_JITTER_MILLISECONDS), this::verify);
    }

    /** Reads the record back, and writes it again if the store does not hold it. */
    private void verify() {
        store.readRow(FleetDirectory.TABLE, self.value())
                .whenComplete(
                        (row, failure) -> {
                            if (failure != null) {
                                log.event("record-unverified")
                                        .with("cause", failure.getMessage())
                                        .write();
                                timers.schedule(retryDelayMilliseconds(), this::verify);
                            } else {
                                row.ifPresentOrElse(this::onRow, this::onRowAbsent);
                            }
                        });
    }

    private long retryDelayMilliseconds() {
        return RETRY_DELAY_MILLISECONDS + random.nextLong(RETRY_DELAY_MILLISECONDS);
    }

    /** Sets the record that the store should hold. */
    public void publish(FleetMember member) {
        wanted = member;
        writeIfNeeded();
    }

    /** Removes the record; completes when the store has removed it or did not answer. */
    public CompletableFuture<Void> remove() {
        leaving = true;
        if (storedVersion == 0) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> result = new CompletableFuture<>();
        remove(storedVersion, MAX_REMOVALS, result);
        return result;
    }

    /** Removes the record; if it has another version, which a restored store may have, reads it. */
    private void remove(long version, int attempts, CompletableFuture<Void> result) {
        store.remove(FleetDirectory.TABLE, self.value(), version)
                .whenComplete(
                        (removed, failure) -> {
                            boolean success = failure == null && removed;
                            log.event("record-removed").with("removed", success).write();
                            if (failure != null || removed || attempts <= 1) {
                                result.complete(null);
                            } else {
                                removeCurrent(attempts - 1, result);
                            }
                        });
    }

    private void removeCurrent(int attempts, CompletableFuture<Void> result) {
        store.readRow(FleetDirectory.TABLE, self.value())
                .whenComplete(
                        (row, failure) -> {
                            if (failure != null) {
                                log.event("record-unverified")
                                        .with("cause", failure.getMessage())
                                        .write();
                                result.complete(null);
                            } else if (row.isPresent()) {
                                remove(row.get().version(), attempts, result);
                            } else {
                                result.complete(null);
                            }
                        });
    }

    private void writeIfNeeded() {
        if (writing || leaving || !storedKnown || wanted.getNodeId().isEmpty() || isStored()) {
            return;
        }
        writing = true;
        FleetMember written = wanted;
        store.put(FleetDirectory.TABLE, self.value(), written.toByteString())
                .whenComplete(
                        (version, failure) -> {
                            writing = false;
                            if (failure == null) {
                                onWritten(written, version);
                            } else {
                                timers.schedule(retryDelayMilliseconds(), this::writeIfNeeded);
                            }
                        });
    }

    private void onWritten(FleetMember written, long version) {
        stored = written;
        storedVersion = version;
        log.event("record-written").with("node", self).write();
        writeIfNeeded();
    }

    /**
     * Whether the stored record has the same content, whichever incarnation and revision wrote it.
     */
    private boolean isStored() {
        return content(stored).equals(content(wanted));
    }

    private static FleetMember content(FleetMember member) {
        return member.toBuilder().clearIncarnation().clearRevision().build();
    }
}
