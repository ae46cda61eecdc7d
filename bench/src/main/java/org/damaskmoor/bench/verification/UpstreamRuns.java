package org.damaskmoor.bench.verification;

import java.util.List;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The runs of one non-idempotent request at one upstream. Immutable.
 *
 * @param key the Idempotency-Key
 * @param attempts the caller's attempt number of each run
 */
public record UpstreamRuns(String key, List<Integer> attempts) {
    public UpstreamRuns {
        attempts = List.copyOf(attempts);
    }

    /** Parses an upstream's ledger. */
    public static List<UpstreamRuns> parse(String jsonLines) {
        return jsonLines.lines().map(JsonObject::parse).map(UpstreamRuns::of).toList();
    }

    private static UpstreamRuns of(JsonObject line) {
        List<Integer> attempts =
                line.list("attempts", Number.class).stream().map(Number::intValue).toList();
        return new UpstreamRuns(line.text("key", ""), attempts);
    }
}
