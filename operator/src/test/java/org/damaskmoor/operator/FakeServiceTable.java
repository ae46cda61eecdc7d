package org.damaskmoor.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.configuration.ServiceTable;
import org.damaskmoor.core.configuration.ServiceTableException;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** In-memory service table whose reads can fail and whose writes can lose their answers. */
final class FakeServiceTable implements ServiceTable {
    private final Map<String, Row> rows = new TreeMap<>();
    boolean readsFail;
    boolean writesGetNoAnswer;

    @Override
    public synchronized CompletableFuture<Optional<Row>> read(ServiceName service) {
        return readsFail
                ? failed(false)
                : CompletableFuture.completedFuture(Optional.ofNullable(rows.get(service.value())));
    }

    @Override
    public synchronized CompletableFuture<List<Row>> readAll() {
        return readsFail
                ? failed(false)
                : CompletableFuture.completedFuture(List.copyOf(rows.values()));
    }

    @Override
    public synchronized CompletableFuture<Boolean> compareAndSet(
            ServiceName service,
            Optional<String> expectedTag,
            VersionedConfiguration configuration) {
        Optional<String> currentTag = Optional.ofNullable(rows.get(service.value())).map(Row::tag);
        boolean written = currentTag.equals(expectedTag);
        if (written) {
            String tag = "tag-" + configuration.getVersion();
            rows.put(service.value(), new Row(configuration, tag));
        }
        if (writesGetNoAnswer) {
            readsFail = true;
            return failed(true);
        }
        return CompletableFuture.completedFuture(written);
    }

    private static <T> CompletableFuture<T> failed(boolean mayHaveTakenEffect) {
        return CompletableFuture.failedFuture(
                new ServiceTableException("test", "table", mayHaveTakenEffect, null));
    }
}
