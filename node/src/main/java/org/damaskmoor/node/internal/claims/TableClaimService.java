package org.damaskmoor.node.internal.claims;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.target.ClaimService;
import org.damaskmoor.platform.ReadBackResult;
import org.damaskmoor.platform.ReadBackWrite;
import org.damaskmoor.platform.Row;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.platform.WriteCondition;
import org.damaskmoor.platform.WriteResult;
import org.damaskmoor.schema.accounting.ClaimRecord;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.RequestId;

/**
 * Claims idempotency keys by inserting rows into the platform's table service, on the condition
 * that the row does not exist.
 *
 * <p>If an earlier attempt of the same request left a row at another target, the claim overwrites
 * it, because the entry node makes another attempt only after the earlier one has certainly not
 * run. Overwriting changes the row's tag, so that a late release by the earlier target can't delete
 * the row; and an earlier attempt, however late it arrives, never overwrites a later one's row.
 *
 * <p>Thread-safe. Invariants: of all requests with the same key at most one is granted until it is
 * released; a row is deleted only by the target that wrote it last, for the request that it wrote
 * it for. Results are delivered on the upstream event loop.
 */
public final class TableClaimService implements ClaimService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String TABLE = "claims";
    private static final int MAXIMUM_WRITE_ATTEMPTS = 3;
    private static final int MAXIMUM_CLAIM_ATTEMPTS = 3;
    private static final int MAXIMUM_RELEASE_ATTEMPTS = 5;
    private static final long RELEASE_RETRY_MILLISECONDS = 1_000;

    private final NodeId self;
    private final Incarnation incarnation;
    private final TableService tables;
    private final ReadBackWrite writes;
    private final LongSupplier epochMilliseconds;
    private final Executor upstream;
    private final Executor delayed;

    /** Creates a claim service with the wall clock and the default retry delay. */
    public static TableClaimService of(
            NodeId self, Incarnation incarnation, TableService tables, Executor upstream) {
        return new TableClaimService(
                self,
                incarnation,
                tables,
                System::currentTimeMillis,
                upstream,
                CompletableFuture.delayedExecutor(
                        RELEASE_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS));
    }

    /**
     * Creates a claim service.
     *
     * @param epochMilliseconds the wall clock
     * @param upstream runs tasks on the upstream event loop; must not drop them
     * @param delayed runs tasks after the delay between attempts to release
     */
    public TableClaimService(
            NodeId self,
            Incarnation incarnation,
            TableService tables,
            LongSupplier epochMilliseconds,
            Executor upstream,
            Executor delayed) {
        this.self = self;
        this.incarnation = incarnation;
        this.tables = tables;
        this.writes = new ReadBackWrite(tables, MAXIMUM_WRITE_ATTEMPTS);
        this.epochMilliseconds = epochMilliseconds;
        this.upstream = upstream;
        this.delayed = delayed;
    }

    @Override
    public void claim(Call call, Consumer<ClaimResult> whenDone) {
        String key = ClaimKey.of(call);
        CompletableFuture<Void> unused =
                claim(key, record(call), MAXIMUM_CLAIM_ATTEMPTS)
                        .exceptionally(failure -> unavailable(key, failure))
                        .thenAcceptAsync(whenDone, upstream);
    }

    private CompletableFuture<ClaimResult> claim(String key, ClaimRecord own, int attempts) {
        return write(key, WriteCondition.absent(), own)
                .thenCompose(
                        result ->
                                result instanceof WriteResult.Written
                                        ? CompletableFuture.completedFuture(ClaimResult.GRANTED)
                                        : readExisting(key, own, attempts));
    }

    private CompletableFuture<ClaimResult> readExisting(String key, ClaimRecord own, int attempts) {
        return tables.get(TABLE, key)
                .thenCompose(
                        row ->
                                row.isEmpty()
                                        ? retryClaim(key, own, attempts)
                                        : resolveConflict(key, own, row.get(), attempts));
    }

    private CompletableFuture<ClaimResult> resolveConflict(
            String key, ClaimRecord own, Row row, int attempts) {
        ClaimRecord existing = parse(row);
        if (existing.equals(own)) {
            return CompletableFuture.completedFuture(ClaimResult.GRANTED);
        }
        if (!isSameRequest(existing, own) || existing.getAttempt() >= own.getAttempt()) {
            return CompletableFuture.completedFuture(ClaimResult.TAKEN);
        }
        return write(key, WriteCondition.matches(row.etag()), own)
                .thenCompose(
                        result ->
                                result instanceof WriteResult.Written
                                        ? CompletableFuture.completedFuture(ClaimResult.GRANTED)
                                        : retryClaim(key, own, attempts));
    }

    /**
     * The row was released or overwritten between read and write: claims again, a limited number of
     * times.
     */
    private CompletableFuture<ClaimResult> retryClaim(String key, ClaimRecord own, int attempts) {
        return attempts > 1
                ? claim(key, own, attempts - 1)
                : CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
    }

    private CompletableFuture<WriteResult> write(
            String key, WriteCondition condition, ClaimRecord own) {
        ByteString value = own.toByteString();
        return writes.put(
                TABLE,
                key,
                condition,
                value,
                row -> row.value().equals(value) ? ReadBackResult.MINE : ReadBackResult.OTHER);
    }

    private static ClaimResult unavailable(String key, Throwable failure) {
        logger.atWarning().log(
                "event=claim-unavailable step=claim peer=table-service key=%s detail=%s",
                key, failure.getMessage());
        return ClaimResult.UNAVAILABLE;
    }

    @Override
    public void release(Call call) {
        release(ClaimKey.of(call), record(call), MAXIMUM_RELEASE_ATTEMPTS);
    }

    private void release(String key, ClaimRecord own, int attempts) {
        CompletableFuture<Void> unused =
                tables.get(TABLE, key)
                        .thenCompose(row -> deleteIfOwn(row, own))
                        .handle((done, failure) -> failure)
                        .thenAccept(failure -> onReleaseAttempt(key, own, attempts, failure));
    }

    private CompletableFuture<Boolean> deleteIfOwn(Optional<Row> row, ClaimRecord own) {
        boolean isOwn =
                row.map(TableClaimService::parse)
                        .filter(existing -> isSameRequest(existing, own))
                        .filter(existing -> isSameTarget(existing, own))
                        .isPresent();
        return isOwn
                ? tables.delete(TABLE, row.get().key(), row.get().etag())
                : CompletableFuture.completedFuture(false);
    }

    private void onReleaseAttempt(String key, ClaimRecord own, int attempts, Throwable failure) {
        if (failure == null) {
            return;
        }
        if (attempts > 1) {
            delayed.execute(() -> release(key, own, attempts - 1));
            return;
        }
        logger.atWarning().log(
                "event=claim-kept step=release peer=table-service key=%s detail=%s",
                key, failure.getMessage());
    }

    private ClaimRecord record(Call call) {
        RequestId id = call.getRequestId();
        return ClaimRecord.newBuilder()
                .setEntryNode(id.getEntryNode())
                .setEntryIncarnation(id.getEntryIncarnation())
                .setSequence(id.getSequence())
                .setAttempt(call.getAttempt())
                .setTargetNode(self.value())
                .setTargetIncarnation(incarnation.value())
                .setClaimedAtEpochMilliseconds(epochMilliseconds.getAsLong())
                .build();
    }

    private static boolean isSameRequest(ClaimRecord existing, ClaimRecord own) {
        return existing.getEntryNode().equals(own.getEntryNode())
                && existing.getEntryIncarnation() == own.getEntryIncarnation()
                && existing.getSequence() == own.getSequence();
    }

    private static boolean isSameTarget(ClaimRecord existing, ClaimRecord own) {
        return existing.getAttempt() == own.getAttempt()
                && existing.getTargetNode().equals(own.getTargetNode())
                && existing.getTargetIncarnation() == own.getTargetIncarnation();
    }

    private static ClaimRecord parse(Row row) {
        try {
            return ClaimRecord.parseFrom(row.value());
        } catch (InvalidProtocolBufferException unreadable) {
            throw new IllegalStateException(
                    "row claims/"
                            + row.key()
                            + " does not contain a claim; find out what else writes to this table",
                    unreadable);
        }
    }
}
