package org.damaskmoor.node.internal.accounting;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.ObjectStore;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalReason;

/** An object store in memory that answers immediately. */
final class InMemoryObjectStore implements ObjectStore {
    private final TreeMap<String, ByteString> objects = new TreeMap<>();

    static RefusalObject refusals(String node, int count) {
        return RefusalObject.newBuilder()
                .setNodeId(node)
                .addCounts(
                        RefusalCount.newBuilder()
                                .setService("besuch")
                                .setCaller("staff")
                                .setReason(RefusalReason.QUEUE_FULL)
                                .setCount(count))
                .build();
    }

    List<RefusalObject> refusals() {
        return objects.tailMap("refusals/").entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("refusals/"))
                .map(entry -> parse(entry.getValue()))
                .toList();
    }

    long total() {
        return refusals().stream()
                .flatMap(object -> object.getCountsList().stream())
                .mapToLong(RefusalCount::getCount)
                .sum();
    }

    void clear() {
        objects.clear();
    }

    private static RefusalObject parse(ByteString content) {
        try {
            return RefusalObject.parseFrom(content);
        } catch (InvalidProtocolBufferException malformed) {
            throw new AssertionError(malformed);
        }
    }

    @Override
    public CompletableFuture<PutResult> putIfAbsent(String name, ByteString content) {
        boolean existed = objects.putIfAbsent(name, content) != null;
        return CompletableFuture.completedFuture(
                existed ? PutResult.ALREADY_EXISTS : PutResult.CREATED);
    }

    @Override
    public CompletableFuture<Optional<ByteString>> get(String name) {
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletableFuture<Boolean> delete(String name) {
        return CompletableFuture.completedFuture(objects.remove(name) != null);
    }

    @Override
    public CompletableFuture<List<Entry>> list(String prefix, String after, int limit) {
        throw new UnsupportedOperationException("not used");
    }
}
