package org.damaskmoor.bench.soak;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.verification.Violation;

/**
 * Describes a violation with all sends and runs of its request and the nodes involved.
 *
 * <p>Immutable and thread safe.
 */
final class ViolationReport {
    /**
     * One run in an upstream's ledger. Immutable.
     *
     * @param requestId entry node, its incarnation and the sequence number, as assigned by the node
     */
    record Run(String upstream, String key, int attempt, String requestId) {
        /** Reads one line of an upstream's ledger file. */
        static Run parse(String upstream, String line) {
            JsonObject run = JsonObject.parse(line);
            int attempt = run.list("attempts", Number.class).get(0).intValue();
            return new Run(upstream, run.text("key", ""), attempt, run.text("request_id", ""));
        }

        String text() {
            return "attempt=" + attempt + " at=" + upstream + " request_id=" + requestId;
        }
    }

    private final Map<String, List<Run>> runs;
    private final Map<String, List<CallRecord>> sends;

    ViolationReport(List<Run> runs, List<CallRecord> sends) {
        this.runs = runs.stream().collect(Collectors.groupingBy(Run::key));
        this.sends =
                sends.stream()
                        .filter(CallRecord::nonIdempotent)
                        .collect(Collectors.groupingBy(CallRecord::key));
    }

    /** Returns one line about the violation. */
    String of(Violation violation) {
        String key = violation.key();
        return "broken: "
                + violation.kind()
                + " key="
                + key
                + " sends="
                + sends.getOrDefault(key, List.of()).stream().map(ViolationReport::text).toList()
                + " runs="
                + runs.getOrDefault(key, List.of()).stream().map(Run::text).toList();
    }

    private static String text(CallRecord send) {
        return "attempt="
                + send.attempt()
                + " entry="
                + send.entry()
                + " outcome="
                + send.outcome()
                + " reason="
                + send.reason();
    }
}
