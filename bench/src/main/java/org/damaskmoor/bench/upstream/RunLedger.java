package org.damaskmoor.bench.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Every run of a non-idempotent request at one upstream: what truly happened.
 *
 * <p>Invariants: entries are only added; the journal has a run before {@link #ran} returns. Not
 * thread safe: one event loop owns it.
 */
public final class RunLedger {
    private final Map<String, List<Integer>> attemptsByKey = new LinkedHashMap<>();
    private final Consumer<String> journal;

    /**
     * @param journal takes one JSON object a run, which outlasts this process
     */
    public RunLedger(Consumer<String> journal) {
        this.journal = journal;
    }

    /** A ledger that is lost with its process. */
    public RunLedger() {
        this(line -> {});
    }

    /**
     * Notes that the request with this key ran, in the attempt that its caller numbered.
     *
     * @param requestId the id under which the nodes know the request
     */
    public void ran(String key, int attempt, String requestId) {
        attemptsByKey.computeIfAbsent(key, any -> new ArrayList<>()).add(attempt);
        journal.accept(line(key, List.of(attempt)).with("request_id", requestId).toString());
    }

    /** Returns one JSON object a line: key, runs, and the caller's attempt of each run. */
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
