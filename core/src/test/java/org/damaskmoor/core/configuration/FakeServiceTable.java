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

/** In-memory table whose next calls can be made to fail. */
final class FakeServiceTable implements ServiceTable {
    /** The outcome of one call. */
    enum CallOutcome {
        ANSWERED,
        REFUSED,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        DELAYED_PAST_ITS_FAILURE
    }

    final Map<String, Row> rows = new TreeMap<>();
    final Deque<CallOutcome> writeOutcomes = new ArrayDeque<>();
    final Deque<CallOutcome> readOutcomes = new ArrayDeque<>();
    final List<Runnable> delayedWrites = new ArrayList<>();
    Runnable beforeNextWrite = () -> {};
    CallOutcome defaultOutcome = CallOutcome.ANSWERED;
    final List<Object> answered = new ArrayList<>();
    int writes;

    @Override
    public CompletableFuture<Optional<Row>> read(ServiceName service) {
        return execute(next(readOutcomes), () -> Optional.ofNullable(rows.get(service.value())));
    }

    @Override
    public CompletableFuture<List<Row>> readAll() {
        return execute(next(readOutcomes), () -> List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<Boolean> compareAndSet(
            ServiceName service,
            Optional<String> expectedTag,
            VersionedConfiguration configuration) {
        Runnable before = beforeNextWrite;
        beforeNextWrite = () -> {};
        before.run();
        return execute(
                next(writeOutcomes), () -> write(service.value(), expectedTag, configuration));
    }

    private boolean write(String key, Optional<String> tag, VersionedConfiguration configuration) {
        Optional<String> current = Optional.ofNullable(rows.get(key)).map(Row::tag);
        if (!current.equals(tag)) {
            return false;
        }
        rows.put(key, new Row(configuration, "tag-" + ++writes));
        return true;
    }

    private CallOutcome next(Deque<CallOutcome> outcomes) {
        return outcomes.isEmpty() ? defaultOutcome : outcomes.removeFirst();
    }

    private <T> CompletableFuture<T> execute(CallOutcome outcome, Supplier<T> effect) {
        return switch (outcome) {
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
