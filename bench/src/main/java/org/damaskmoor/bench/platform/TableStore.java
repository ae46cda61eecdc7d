package org.damaskmoor.bench.platform;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The rows of the platform's table service, in memory.
 *
 * <pre>{@code
 * store.apply(List.of(new Operation("leases", "merge", Condition.ABSENT, Optional.of(value))));
 * }</pre>
 *
 * <p>Invariants: an entity tag is never reused, even after a deletion; a list of operations is
 * applied atomically. Not thread safe: confined to one event loop.
 */
public final class TableStore {
    /** One version of a row. */
    public record Row(String entityTag, ByteString value) {}

    /** The precondition of an operation on its row. */
    public record Condition(Optional<String> ifMatch, boolean ifNoneMatch) {
        public static final Condition ALWAYS = new Condition(Optional.empty(), false);
        public static final Condition ABSENT = new Condition(Optional.empty(), true);

        /** Returns the condition that the row has this version. */
        public static Condition match(String entityTag) {
            return new Condition(Optional.of(entityTag), false);
        }

        boolean holds(Optional<Row> row) {
            if (ifNoneMatch && row.isPresent()) {
                return false;
            }
            return ifMatch.isEmpty() || row.map(Row::entityTag).equals(ifMatch);
        }
    }

    /** One write; an absent value deletes the row. */
    public record Operation(
            String table, String key, Condition condition, Optional<ByteString> value) {}

    /**
     * The result of a list of operations: their entity tags, or the index of the first whose
     * condition failed.
     */
    public record Result(List<String> entityTags, Optional<Integer> failedOperation) {}

    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long lastVersion;

    /** Returns the current row. */
    public Optional<Row> get(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    /** Returns up to the given number of rows with keys after the given key, ordered by key. */
    public Map<String, Row> scan(String table, String prefix, String after, int limit) {
        Map<String, Row> found = new TreeMap<>();
        for (Map.Entry<String, Row> entry : table(table).tailMap(after, false).entrySet()) {
            if (found.size() == limit) {
                break;
            }
            if (entry.getKey().startsWith(prefix)) {
                found.put(entry.getKey(), entry.getValue());
            }
        }
        return found;
    }

    /** Applies all operations, or none if a condition fails. */
    public Result apply(List<Operation> operations) {
        for (int i = 0; i < operations.size(); i++) {
            Operation operation = operations.get(i);
            if (!operation.condition().holds(get(operation.table(), operation.key()))) {
                return new Result(List.of(), Optional.of(i));
            }
        }
        List<String> entityTags = new ArrayList<>();
        operations.forEach(operation -> entityTags.add(write(operation)));
        return new Result(entityTags, Optional.empty());
    }

    private String write(Operation operation) {
        NavigableMap<String, Row> rows = table(operation.table());
        String entityTag = "v" + ++lastVersion;
        if (operation.value().isPresent()) {
            rows.put(operation.key(), new Row(entityTag, operation.value().get()));
        } else {
            rows.remove(operation.key());
        }
        return entityTag;
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, any -> new TreeMap<>());
    }
}
