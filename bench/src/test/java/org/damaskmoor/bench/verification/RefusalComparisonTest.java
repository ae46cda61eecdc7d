package org.damaskmoor.bench.verification;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.accounting.RefusalSummary.Line;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class RefusalComparisonTest {
    private static CallRecord refused(String caller, String reason) {
        return new CallRecord(
                caller, "", 1, false, false, Outcome.REFUSED, reason, "r", false, "entry", 1);
    }

    private static Line line(String caller, RefusalReason reason, long count) {
        return new Line(new Line.Key("besuch", caller, reason), count, count);
    }

    private static RefusalSummary summary(Line... lines) {
        return new RefusalSummary(List.of(lines), List.of(), List.of(), 0);
    }

    @Test
    void should_find_a_refusal_counted_for_another_caller_or_reason_when_sums_agree() {
        // given
        RefusalComparison comparison =
                new RefusalComparison(
                        List.of(refused("staff", "queue-full"), refused("staff", "queue-full")));

        // then
        assertThat(comparison.check(summary(line("staff", RefusalReason.QUEUE_FULL, 2)))).isEmpty();
        assertThat(
                        comparison.check(
                                summary(
                                        line("staff", RefusalReason.QUEUE_FULL, 1),
                                        line("resident", RefusalReason.QUEUE_FULL, 1))))
                .hasSize(2);
        assertThat(comparison.check(summary(line("staff", RefusalReason.DRAINING, 2)))).hasSize(2);
    }
}
