package org.damaskmoor.bench.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Every run of a non-idempotent request at one upstream: what truly happened.
 *
 * <p>Invariant: entries are only added. Not thread safe: one event loop owns it.
 */
public final class RunLedger {
    private final Map<String, List<Integer>> attemptsByKey = new LinkedHashMap<>();

    /** Notes that the request with this key ran, in the attempt that its caller numbered. */
    public void ran(String key, int attempt) {
        attemptsByKey.computeIfAbsent(key, any -> new ArrayList<>()).add(attempt);
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
