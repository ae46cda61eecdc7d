package org.damaskmoor.report;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.ObjectStore;

/** In-memory object store. */
final class FakeObjectStore implements ObjectStore {
    final TreeMap<String, ByteString> objects = new TreeMap<>();

    @Override
    public CompletableFuture<PutResult> putIfAbsent(String name, ByteString content) {
        boolean created = objects.putIfAbsent(name, content) == null;
        return CompletableFuture.completedFuture(
                created ? PutResult.CREATED : PutResult.ALREADY_EXISTS);
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
        return CompletableFuture.completedFuture(
                objects.tailMap(after, false).entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(prefix))
                        .limit(limit)
                        .map(entry -> new Entry(entry.getKey(), entry.getValue().size()))
                        .toList());
    }
}
