package org.damaskmoor.bench.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.verification.Violation.Kind;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.accounting.RefusalSummary.Line;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Compares the accounted refusals with the callers' ledger, by caller and reason.
 *
 * <p>A recorded refusal whose answer did not arrive, because the caller timed out or the node was
 * killed, is also reported as a difference; the detail contains the number of sends without an
 * answer.
 *
 * <pre>{@code
 * List<Violation> differing = new RefusalComparison(callRecords).check(summary);
 * }</pre>
 *
 * <p>Immutable and thread safe.
 */
public final class RefusalComparison {
    private final Map<String, Long> refusedByCallers = new HashMap<>();
    private final long unanswered;

    public RefusalComparison(List<CallRecord> records) {
        unanswered =
                records.stream().filter(line -> line.outcome() == Outcome.TRANSPORT_ERROR).count();
        records.stream()
                .filter(line -> !line.direct() && line.outcome() == Outcome.REFUSED)
                .forEach(
                        line ->
                                refusedByCallers.merge(
                                        key(line.caller(), line.reason()), 1L, Long::sum));
    }

    /** Returns one violation for each caller and reason with different counts. */
    public List<Violation> check(RefusalSummary summary) {
        Map<String, Long> accounted = new HashMap<>();
        for (Line line : summary.lines()) {
            String key = key(line.key().caller(), wireName(line.key().reason()));
            accounted.merge(key, line.count(), Long::sum);
        }
        TreeSet<String> keys = new TreeSet<>(refusedByCallers.keySet());
        keys.addAll(accounted.keySet());
        List<Violation> found = new ArrayList<>();
        for (String key : keys) {
            long expected = refusedByCallers.getOrDefault(key, 0L);
            long reported = accounted.getOrDefault(key, 0L);
            if (expected != reported) {
                String detail =
                        String.format(
                                "callers received %d, accounted for %d;"
                                        + " %d sends of all callers got no answer at all",
                                expected, reported, unanswered);
                found.add(new Violation(Kind.REFUSALS_DIFFER, key, detail));
            }
        }
        return found;
    }

    private static String key(String caller, String reason) {
        return caller + "/" + reason;
    }

    private static String wireName(RefusalReason reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
