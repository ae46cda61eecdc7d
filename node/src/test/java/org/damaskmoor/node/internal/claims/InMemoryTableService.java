package org.damaskmoor.node.internal.claims;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.ETag;
import org.damaskmoor.platform.PlatformException;
import org.damaskmoor.platform.PlatformException.Effect;
import org.damaskmoor.platform.Row;
import org.damaskmoor.platform.RowWrite;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.platform.TransactionResult;
import org.damaskmoor.platform.WriteCondition;
import org.damaskmoor.platform.WriteResult;

/** A table service in memory whose reads and writes can be made to fail. */
final class InMemoryTableService implements TableService {
    /** How the next write fails: it is executed without an answer, or lost. */
    enum Fault {
        LOST_ANSWER,
        LOST_WRITE
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Queue<Fault> faults = new ArrayDeque<>();
    private boolean down;
    private int lastTag;

    void failNextWrite(Fault fault) {
        faults.add(fault);
    }

    void setDown(boolean down) {
        this.down = down;
    }

    int size() {
        return rows.size();
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String table, String key) {
        return down ? failure() : CompletableFuture.completedFuture(find(table, key));
    }

    @Override
    public CompletableFuture<WriteResult> put(
            String table, String key, WriteCondition condition, ByteString value) {
        Fault fault = faults.poll();
        if (down || fault == Fault.LOST_WRITE) {
            return failure();
        }
        WriteResult result = write(table, key, condition, value);
        return fault == Fault.LOST_ANSWER ? failure() : CompletableFuture.completedFuture(result);
    }

    private WriteResult write(
            String table, String key, WriteCondition condition, ByteString value) {
        Optional<Row> existing = find(table, key);
        if (!condition.holdsFor(existing)) {
            return new WriteResult.ConditionFailed(existing.map(Row::etag));
        }
        ETag tag = new ETag("tag-" + ++lastTag);
        rows.put(table + "/" + key, new Row(key, tag, value));
        return new WriteResult.Written(tag);
    }

    @Override
    public CompletableFuture<Boolean> delete(String table, String key, ETag etag) {
        if (down) {
            return failure();
        }
        boolean matches = find(table, key).filter(row -> row.etag().equals(etag)).isPresent();
        if (matches) {
            rows.remove(table + "/" + key);
        }
        return CompletableFuture.completedFuture(matches);
    }

    @Override
    public CompletableFuture<List<Row>> list(String table, String prefix, String after, int limit) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public CompletableFuture<TransactionResult> transact(List<RowWrite> writes) {
        throw new UnsupportedOperationException("not used");
    }

    private Optional<Row> find(String table, String key) {
        return Optional.ofNullable(rows.get(table + "/" + key));
    }

    private static <T> CompletableFuture<T> failure() {
        return CompletableFuture.failedFuture(
                new PlatformException("call", "tables", Effect.UNKNOWN, "no answer", null));
    }
}
