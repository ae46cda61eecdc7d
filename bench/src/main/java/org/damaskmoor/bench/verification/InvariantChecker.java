package org.damaskmoor.bench.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.verification.Violation.Kind;

/**
 * Compares the outcomes reported to callers with the runs recorded by upstreams.
 *
 * <pre>{@code
 * List<Violation> violations = new InvariantChecker(runs).check(callRecords);
 * }</pre>
 *
 * <p>Immutable and thread safe.
 */
public final class InvariantChecker {
    private static final String SUCCESS_REASON = "status-200";

    private final Map<String, List<Integer>> attemptsByKey = new HashMap<>();

    /**
     * @param runs the ledgers of all upstreams
     */
    public InvariantChecker(List<UpstreamRuns> runs) {
        for (UpstreamRuns run : runs) {
            attemptsByKey
                    .computeIfAbsent(run.key(), any -> new ArrayList<>())
                    .addAll(run.attempts());
        }
    }

    /** Returns every violation. */
    public List<Violation> check(List<CallRecord> records) {
        List<Violation> found = new ArrayList<>();
        attemptsByKey.forEach((key, attempts) -> checkRuns(key, attempts, found));
        records.forEach(line -> checkRecord(line, found));
        return found;
    }

    private static void checkRuns(String key, List<Integer> attempts, List<Violation> found) {
        if (attempts.size() > 1) {
            found.add(new Violation(Kind.RAN_TWICE, key, "runs of attempts " + attempts));
        }
    }

    private void checkRecord(CallRecord line, List<Violation> found) {
        if (line.crossed()) {
            found.add(new Violation(Kind.CROSSED_ANSWER, line.key(), line.reason()));
        }
        if (!line.nonIdempotent()) {
            return;
        }
        List<Integer> attempts = attemptsByKey.getOrDefault(line.key(), List.of());
        if (line.outcome() == Outcome.REFUSED && attempts.contains(line.attempt())) {
            found.add(new Violation(Kind.FALSE_NOT_RUN, line.key(), "refused " + line.reason()));
        }
        boolean succeeded =
                line.outcome() == Outcome.ANSWERED && line.reason().equals(SUCCESS_REASON);
        if (succeeded && attempts.isEmpty()) {
            found.add(new Violation(Kind.ANSWERED_WITHOUT_RUN, line.key(), "no run"));
        }
    }
}
