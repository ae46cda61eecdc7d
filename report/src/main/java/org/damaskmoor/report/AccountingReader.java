package org.damaskmoor.report;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.damaskmoor.core.accounting.RefusalObjects;
import org.damaskmoor.core.accounting.RefusalReconciler;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.accounting.RequestFlusher;
import org.damaskmoor.platform.ObjectStore;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.accounting.RequestCount;
import org.damaskmoor.schema.accounting.RequestObject;

/**
 * Reads the accounting objects that nodes write to the object store.
 *
 * <pre>{@code
 * RefusalSummary refusals = new AccountingReader(store).refusals(fromMinute, toMinute);
 * refusals.total();                        // number of refusals
 * refusals.lines();                        // by service, caller and reason
 * }</pre>
 *
 * <p>Calls block until all objects are read, and throw the failure of the store. At most {@link
 * #MAXIMUM_CONCURRENT_READS} reads are in flight. Immutable and thread-safe.
 */
public final class AccountingReader {
    /** Maximum number of reads in flight. */
    public static final int MAXIMUM_CONCURRENT_READS = 16;

    private static final int PAGE_ENTRIES = 1_000;
    private static final long MINUTES_PER_HOUR = 60;

    private final ObjectStore store;

    /** Creates a reader of {@code store}. */
    public AccountingReader(ObjectStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Returns the refusals from {@code fromEpochMinute}, inclusive, to {@code toEpochMinute},
     * exclusive.
     */
    public RefusalSummary refusals(long fromEpochMinute, long toEpochMinute) {
        RefusalReconciler reconciler = new RefusalReconciler(fromEpochMinute, toEpochMinute);
        for (long hour = hour(fromEpochMinute); hour <= hour(toEpochMinute - 1); hour++) {
            readAll(
                    RefusalObjects.hourPrefix(hour),
                    content -> reconciler.add(refusalObject(content)));
        }
        return reconciler.summarize();
    }

    /**
     * Returns the request counts from {@code fromEpochMinute}, inclusive, to {@code toEpochMinute},
     * exclusive.
     */
    public List<RequestCount> requests(long fromEpochMinute, long toEpochMinute) {
        List<RequestCount> counts = new ArrayList<>();
        for (long hour = hour(fromEpochMinute); hour <= hour(toEpochMinute - 1); hour++) {
            readAll(
                    RequestFlusher.hourPrefix(hour),
                    content ->
                            requestObject(content).getCountsList().stream()
                                    .filter(count -> count.getEpochMinute() >= fromEpochMinute)
                                    .filter(count -> count.getEpochMinute() < toEpochMinute)
                                    .forEach(counts::add));
        }
        return counts;
    }

    private void readAll(String prefix, Consumer<ByteString> consumer) {
        Set<String> seen = new HashSet<>();
        String after = "";
        List<ObjectStore.Entry> page;
        do {
            page = store.list(prefix, after, PAGE_ENTRIES).join();
            List<String> names =
                    page.stream().map(ObjectStore.Entry::name).filter(seen::add).toList();
            for (int i = 0; i < names.size(); i += MAXIMUM_CONCURRENT_READS) {
                readConcurrently(
                        names.subList(i, Math.min(names.size(), i + MAXIMUM_CONCURRENT_READS)),
                        consumer);
            }
            after = page.isEmpty() ? after : page.get(page.size() - 1).name();
        } while (!page.isEmpty());
    }

    private void readConcurrently(List<String> names, Consumer<ByteString> consumer) {
        List<CompletableFuture<Optional<ByteString>>> reads =
                names.stream().map(store::get).toList();
        reads.forEach(read -> read.join().ifPresent(consumer));
    }

    private static long hour(long epochMinute) {
        return Math.floorDiv(epochMinute, MINUTES_PER_HOUR);
    }

    private static RefusalObject refusalObject(ByteString content) {
        try {
            return RefusalObject.parseFrom(content);
        } catch (InvalidProtocolBufferException malformed) {
            throw unreadable(malformed);
        }
    }

    private static RequestObject requestObject(ByteString content) {
        try {
            return RequestObject.parseFrom(content);
        } catch (InvalidProtocolBufferException malformed) {
            throw unreadable(malformed);
        }
    }

    private static IllegalStateException unreadable(InvalidProtocolBufferException malformed) {
        return new IllegalStateException(
                "An object below "
                        + RefusalObjects.PREFIX
                        + " or "
                        + RequestFlusher.PREFIX
                        + " is malformed; check whether another process writes these names.",
                malformed);
    }
}
