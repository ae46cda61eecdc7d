package org.damaskmoor.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** A table in memory whose next calls can be made to fail. */
final class FakeServiceTable implements ServiceTable {
    /** What happens to one call. */
    enum Fate {
        ANSWERED,
        REFUSED,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        DELAYED_PAST_ITS_FAILURE
    }

    final Map<String, Row> rows = new TreeMap<>();
    final Deque<Fate> writeFates = new ArrayDeque<>();
    final Deque<Fate> readFates = new ArrayDeque<>();
    final List<Runnable> delayedWrites = new ArrayList<>();
    Runnable beforeNextWrite = () -> {};
    Fate fate = Fate.ANSWERED;
    final List<Object> answered = new ArrayList<>();
    int writes;

    @Override
    public CompletableFuture<Optional<Row>> read(ServiceName service) {
        return carryOut(next(readFates), () -> Optional.ofNullable(rows.get(service.value())));
    }

    @Override
    public CompletableFuture<List<Row>> readAll() {
        return carryOut(next(readFates), () -> List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<Boolean> compareAndSet(
            ServiceName service,
            Optional<String> expectedTag,
            VersionedConfiguration configuration) {
        Runnable before = beforeNextWrite;
        beforeNextWrite = () -> {};
        before.run();
        return carryOut(next(writeFates), () -> write(service.value(), expectedTag, configuration));
    }

    private boolean write(String key, Optional<String> tag, VersionedConfiguration configuration) {
        Optional<String> standing = Optional.ofNullable(rows.get(key)).map(Row::tag);
        if (!standing.equals(tag)) {
            return false;
        }
        rows.put(key, new Row(configuration, "tag-" + ++writes));
        return true;
    }

    private Fate next(Deque<Fate> fates) {
        return fates.isEmpty() ? fate : fates.removeFirst();
    }

    private <T> CompletableFuture<T> carryOut(Fate how, Supplier<T> effect) {
        return switch (how) {
            case ANSWERED -> CompletableFuture.completedFuture(effect.get());
            case REFUSED -> fail(false);
            case LOST_BEFORE_EFFECT -> fail(true);
            case LOST_AFTER_EFFECT -> {
                T unused = effect.get();
                yield fail(true);
            }
            case DELAYED_PAST_ITS_FAILURE -> {
                delayedWrites.add(() -> answered.add(effect.get()));
                yield fail(true);
            }
        };
    }

    private static <T> CompletableFuture<T> fail(boolean mayHaveTakenEffect) {
        return CompletableFuture.failedFuture(
                new ServiceTableException("test", "table", mayHaveTakenEffect, null));
    }
}
