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
 * Claims idempotency keys by rows of the platform's table service that are inserted only when they
 * do not stand.
 *
 * <p>A row that an earlier attempt of the same request left at another target is taken over by
 * rewriting it, because the entry node makes another attempt only after a truthful "not run". The
 * rewrite changes the row's tag, so that a late release by the former target can no longer delete
 * it; and an earlier attempt, however late it comes, never takes a later one's row.
 *
 * <p>Thread-safe. Invariants: of all requests with one key, one at most is granted until it is
 * released; a row is deleted only by the target that wrote it last, for the request that it wrote
 * it for. Results come on the upstream event loop.
 */
public final class TableClaimService implements ClaimService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String TABLE = "claims";
    private static final int WRITE_ATTEMPTS = 3;
    private static final int CLAIM_ROUNDS = 3;
    private static final int RELEASE_ATTEMPTS = 5;
    private static final long RELEASE_PAUSE_MILLISECONDS = 1_000;

    private final NodeId self;
    private final Incarnation incarnation;
    private final TableService tables;
    private final ReadBackWrite writes;
    private final LongSupplier epochMilliseconds;
    private final Executor upstream;
    private final Executor later;

    /** Claims for one start of a node, with the wall clock and the usual pause. */
    public static TableClaimService of(
            NodeId self, Incarnation incarnation, TableService tables, Executor upstream) {
        return new TableClaimService(
                self,
                incarnation,
                tables,
                System::currentTimeMillis,
                upstream,
                CompletableFuture.delayedExecutor(
                        RELEASE_PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS));
    }

    /**
     * Claims for one start of a node.
     *
     * @param epochMilliseconds the wall clock
     * @param upstream runs tasks on the upstream event loop; must not drop them
     * @param later runs tasks after the pause between attempts to release
     */
    public TableClaimService(
            NodeId self,
            Incarnation incarnation,
            TableService tables,
            LongSupplier epochMilliseconds,
            Executor upstream,
            Executor later) {
        this.self = self;
        this.incarnation = incarnation;
        this.tables = tables;
        this.writes = new ReadBackWrite(tables, WRITE_ATTEMPTS);
        this.epochMilliseconds = epochMilliseconds;
        this.upstream = upstream;
        this.later = later;
    }

    @Override
    public void claim(Call call, Consumer<Claim> whenDone) {
        String key = ClaimKey.of(call);
        CompletableFuture<Void> unused =
                claim(key, record(call), CLAIM_ROUNDS)
                        .exceptionally(failure -> unavailable(key, failure))
                        .thenAcceptAsync(whenDone, upstream);
    }

    private CompletableFuture<Claim> claim(String key, ClaimRecord mine, int rounds) {
        return write(key, WriteCondition.absent(), mine)
                .thenCompose(
                        result ->
                                result instanceof WriteResult.Written
                                        ? CompletableFuture.completedFuture(Claim.GRANTED)
                                        : judgeStanding(key, mine, rounds));
    }

    private CompletableFuture<Claim> judgeStanding(String key, ClaimRecord mine, int rounds) {
        return tables.get(TABLE, key)
                .thenCompose(
                        row ->
                                row.isEmpty()
                                        ? again(key, mine, rounds)
                                        : judge(key, mine, row.get(), rounds));
    }

    private CompletableFuture<Claim> judge(String key, ClaimRecord mine, Row row, int rounds) {
        ClaimRecord standing = parse(row);
        if (standing.equals(mine)) {
            return CompletableFuture.completedFuture(Claim.GRANTED);
        }
        if (!isSameRequest(standing, mine) || standing.getAttempt() >= mine.getAttempt()) {
            return CompletableFuture.completedFuture(Claim.TAKEN);
        }
        return write(key, WriteCondition.matches(row.etag()), mine)
                .thenCompose(
                        result ->
                                result instanceof WriteResult.Written
                                        ? CompletableFuture.completedFuture(Claim.GRANTED)
                                        : again(key, mine, rounds));
    }

    /** The row was released or rewritten between two looks at it. */
    private CompletableFuture<Claim> again(String key, ClaimRecord mine, int rounds) {
        return rounds > 1
                ? claim(key, mine, rounds - 1)
                : CompletableFuture.completedFuture(Claim.UNAVAILABLE);
    }

    private CompletableFuture<WriteResult> write(
            String key, WriteCondition condition, ClaimRecord mine) {
        ByteString value = mine.toByteString();
        return writes.put(
                TABLE,
                key,
                condition,
                value,
                row -> row.value().equals(value) ? ReadBackResult.MINE : ReadBackResult.OTHER);
    }

    private static Claim unavailable(String key, Throwable failure) {
        logger.atWarning().log(
                "event=claim-unavailable step=claim peer=table-service key=%s detail=%s",
                key, failure.getMessage());
        return Claim.UNAVAILABLE;
    }

    @Override
    public void release(Call call) {
        release(ClaimKey.of(call), record(call), RELEASE_ATTEMPTS);
    }

    private void release(String key, ClaimRecord mine, int attempts) {
        CompletableFuture<Void> unused =
                tables.get(TABLE, key)
                        .thenCompose(row -> deleteIfMine(row, mine))
                        .handle((done, failure) -> failure)
                        .thenAccept(failure -> settleRelease(key, mine, attempts, failure));
    }

    private CompletableFuture<Boolean> deleteIfMine(Optional<Row> row, ClaimRecord mine) {
        boolean standsForMe =
                row.map(TableClaimService::parse)
                        .filter(standing -> isSameRequest(standing, mine))
                        .filter(standing -> isSameTarget(standing, mine))
                        .isPresent();
        return standsForMe
                ? tables.delete(TABLE, row.get().key(), row.get().etag())
                : CompletableFuture.completedFuture(false);
    }

    private void settleRelease(String key, ClaimRecord mine, int attempts, Throwable failure) {
        if (failure == null) {
            return;
        }
        if (attempts > 1) {
            later.execute(() -> release(key, mine, attempts - 1));
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

    private static boolean isSameRequest(ClaimRecord standing, ClaimRecord mine) {
        return standing.getEntryNode().equals(mine.getEntryNode())
                && standing.getEntryIncarnation() == mine.getEntryIncarnation()
                && standing.getSequence() == mine.getSequence();
    }

    private static boolean isSameTarget(ClaimRecord standing, ClaimRecord mine) {
        return standing.getAttempt() == mine.getAttempt()
                && standing.getTargetNode().equals(mine.getTargetNode())
                && standing.getTargetIncarnation() == mine.getTargetIncarnation();
    }

    private static ClaimRecord parse(Row row) {
        try {
            return ClaimRecord.parseFrom(row.value());
        } catch (InvalidProtocolBufferException unreadable) {
            throw new IllegalStateException(
                    "row claims/" + row.key() + " is not a claim; look for another writer of it",
                    unreadable);
        }
    }
}
