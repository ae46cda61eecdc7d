package org.damaskmoor.bench.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Records every run of a non-idempotent request at one upstream.
 *
 * <p>Invariants: append-only; the journal has a run before {@link #record} returns. Not thread
 * safe: confined to one event loop.
 */
public final class RunLedger {
    private final Map<String, List<Integer>> attemptsByKey = new LinkedHashMap<>();
    private final Consumer<String> journal;

    /**
     * @param journal receives one JSON object per run, which must survive this process
     */
    public RunLedger(Consumer<String> journal) {
        this.journal = journal;
    }

    /** Creates a ledger that exists only in memory. */
    public RunLedger() {
        this(line -> {});
    }

    /**
     * Records a run of the request with this key, with the attempt number given by its caller.
     *
     * @param requestId request id assigned by the entry node
     */
    public void record(String key, int attempt, String requestId) {
        attemptsByKey.computeIfAbsent(key, any -> new ArrayList<>()).add(attempt);
        journal.accept(line(key, List.of(attempt)).with("request_id", requestId).toString());
    }

    /**
     * Returns one JSON object per line: key, number of runs, and the caller's attempt number of
     * each run.
     */
    public String toJsonLines() {
        StringBuilder lines = new StringBuilder();
        attemptsByKey.forEach((key, attempts) -> lines.append(line(key, attempts)).append('\n'));
        return lines.toString();
    }

    private static JsonObject line(String key, List<Integer> attempts) {
        return new JsonObject()
                .with("key", key)
                .with("runs", attempts.size())
                .with("attempts", attempts);
    }
}
