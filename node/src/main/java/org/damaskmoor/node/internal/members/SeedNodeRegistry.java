package org.damaskmoor.node.internal.members;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.damaskmoor.platform.Row;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.platform.WriteCondition;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Seed nodes in the table service, through which a new node finds its first peer. The table and the
 * log events call them join points.
 *
 * <p>Each data centre has a few rows; they are not renewed, only replaced when their node is dead
 * or has left, so that the table service carries no heartbeats.
 *
 * <p>Thread-safe.
 */
public final class SeedNodeRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String TABLE = "join-points";
    private static final int SEED_NODES_PER_DATA_CENTRE = 3;
    private static final int MAXIMUM_LISTED_ROWS = 200;

    private final TableService tables;

    public SeedNodeRegistry(TableService tables) {
        this.tables = tables;
    }

    /**
     * Reads the gossip addresses of all seed nodes that are no members, except this node.
     *
     * @param isMember whether the node of a record is a member now; called on the platform client's
     *     thread
     */
    public CompletableFuture<List<InetSocketAddress>> readAddresses(
            MemberRecord self, Predicate<MemberRecord> isMember) {
        return tables.list(TABLE, "", "", MAXIMUM_LISTED_ROWS)
                .thenApply(rows -> addresses(rows, self, isMember));
    }

    /**
     * Registers this node as a seed node if too few of its data centre's registered nodes are
     * members.
     *
     * @param self this node's record
     * @param isMember whether the node of a record is a member now; called on the platform client's
     *     thread
     */
    public CompletableFuture<Void> registerIfNeeded(
            MemberRecord self, Predicate<MemberRecord> isMember) {
        return tables.list(TABLE, self.getDataCentre() + ".", "", MAXIMUM_LISTED_ROWS)
                .thenCompose(rows -> registerIfNeeded(self, isMember, rows));
    }

    private CompletableFuture<Void> registerIfNeeded(
            MemberRecord self, Predicate<MemberRecord> isMember, List<Row> rows) {
        int registered = 0;
        List<Row> stale = new ArrayList<>();
        Optional<Row> own = Optional.empty();
        for (Row row : rows) {
            MemberRecord record = parse(row).orElse(MemberRecord.getDefaultInstance());
            if (record.getNodeId().equals(self.getNodeId())) {
                own = Optional.of(row);
            } else if (isMember.test(record)) {
                registered++;
            } else {
                stale.add(row);
            }
        }
        if (registered >= SEED_NODES_PER_DATA_CENTRE || isCurrent(own, self)) {
            return CompletableFuture.completedFuture(null);
        }
        Optional<Row> ownRow = own;
        return deleteAll(stale).thenCompose(deleted -> write(self, ownRow));
    }

    private CompletableFuture<Void> deleteAll(List<Row> rows) {
        return CompletableFuture.allOf(
                rows.stream()
                        .map(row -> tables.delete(TABLE, row.key(), row.etag()))
                        .toArray(CompletableFuture<?>[]::new));
    }

    private static boolean isCurrent(Optional<Row> own, MemberRecord self) {
        return own.flatMap(SeedNodeRegistry::parse)
                .filter(record -> record.getIncarnation() == self.getIncarnation())
                .isPresent();
    }

    private CompletableFuture<Void> write(MemberRecord self, Optional<Row> own) {
        WriteCondition condition =
                own.map(row -> WriteCondition.matches(row.etag()))
                        .orElseGet(WriteCondition::absent);
        String key = self.getDataCentre() + "." + self.getNodeId();
        return tables.put(TABLE, key, condition, self.toByteString()).thenApply(written -> null);
    }

    private static List<InetSocketAddress> addresses(
            List<Row> rows, MemberRecord self, Predicate<MemberRecord> isMember) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Row row : rows) {
            parse(row)
                    .filter(record -> !record.getNodeId().equals(self.getNodeId()))
                    .filter(record -> !isMember.test(record))
                    .map(
                            record ->
                                    new InetSocketAddress(
                                            record.getAddress(), record.getGossipPort()))
                    .ifPresent(addresses::add);
        }
        return addresses;
    }

    private static Optional<MemberRecord> parse(Row row) {
        try {
            return Optional.of(MemberRecord.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException unreadable) {
            logger.atWarning().log(
                    "event=join-point-unreadable step=read peer=table-service key=%s", row.key());
            return Optional.empty();
        }
    }
}
