package org.damaskmoor.bench.platform;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.Reply;
import org.damaskmoor.bench.platform.TableStore.Condition;
import org.damaskmoor.bench.platform.TableStore.Operation;
import org.damaskmoor.bench.platform.TableStore.Result;
import org.damaskmoor.bench.platform.TableStore.Row;

/**
 * The operations of the table service on a {@link TableStore}. Not thread safe: confined to one
 * event loop.
 */
final class TableEndpoint {
    private static final int PRECONDITION_REQUIRED = 428;

    private final TableStore store;

    TableEndpoint(TableStore store) {
        this.store = store;
    }

    Reply get(String table, String key) {
        return store.get(table, key)
                .map(row -> Reply.of(200, row.value()).withEntityTag(row.entityTag()))
                .orElse(Reply.of(404));
    }

    Reply put(String table, String key, Condition condition, ByteString value) {
        if (condition.equals(Condition.ALWAYS)) {
            return Reply.of(PRECONDITION_REQUIRED);
        }
        boolean existed = store.get(table, key).isPresent();
        Result result =
                store.apply(List.of(new Operation(table, key, condition, Optional.of(value))));
        if (result.failedOperation().isPresent()) {
            return conflict(table, key);
        }
        return Reply.of(existed ? 200 : 201).withEntityTag(result.entityTags().get(0));
    }

    Reply delete(String table, String key, Condition condition) {
        if (condition.equals(Condition.ALWAYS)) {
            return Reply.of(PRECONDITION_REQUIRED);
        }
        if (store.get(table, key).isEmpty()) {
            return Reply.of(404);
        }
        Result result =
                store.apply(List.of(new Operation(table, key, condition, Optional.empty())));
        return result.failedOperation().isPresent() ? conflict(table, key) : Reply.of(204);
    }

    private Reply conflict(String table, String key) {
        Reply reply = Reply.of(412);
        return store.get(table, key).map(row -> reply.withEntityTag(row.entityTag())).orElse(reply);
    }

    Reply scan(String table, String prefix, String after, int limit) {
        List<JsonObject> rows = new ArrayList<>();
        for (Map.Entry<String, Row> entry : store.scan(table, prefix, after, limit).entrySet()) {
            String value =
                    Base64.getEncoder().encodeToString(entry.getValue().value().toByteArray());
            rows.add(
                    new JsonObject()
                            .with("key", entry.getKey())
                            .with("etag", entry.getValue().entityTag())
                            .with("value", value));
        }
        return PlatformServlet.json(200, "rows", rows);
    }

    Reply transact(JsonObject transaction) {
        List<Operation> operations = new ArrayList<>();
        for (JsonObject object : transaction.list("operations", JsonObject.class)) {
            operations.add(operation(object));
        }
        Result result = store.apply(operations);
        if (result.failedOperation().isPresent()) {
            return PlatformServlet.json(412, "failed_operation", result.failedOperation().get());
        }
        return PlatformServlet.json(200, "etags", result.entityTags());
    }

    private static Operation operation(JsonObject object) {
        Optional<String> ifMatch =
                Optional.of(object.text("if_match", "")).filter(tag -> !tag.isEmpty());
        ByteString value =
                ByteString.copyFrom(Base64.getDecoder().decode(object.text("value", "")));
        return new Operation(
                object.text("table", ""),
                object.text("key", ""),
                new Condition(ifMatch, object.flag("if_none_match")),
                Optional.of(value));
    }
}
