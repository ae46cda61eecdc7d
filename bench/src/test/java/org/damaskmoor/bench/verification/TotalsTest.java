package org.damaskmoor.bench.verification;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.junit.jupiter.api.Test;

class TotalsTest {
    private static final List<CallRecord> ONE_REFUSED =
            List.of(
                    new CallRecord(
                            "staff",
                            "",
                            1,
                            false,
                            false,
                            Outcome.REFUSED,
                            "queue-full",
                            "r",
                            false,
                            "entry",
                            1));

    private static Totals totals(OptionalLong accounted) {
        return new Totals(List.of(), ONE_REFUSED, List.of(), accounted, OptionalLong.empty());
    }

    @Test
    void should_hold_only_when_every_refusal_is_accounted_for() {
        assertThat(totals(OptionalLong.of(1)).exitCode()).isEqualTo(Totals.PASSED);
        assertThat(totals(OptionalLong.of(0)).exitCode()).isEqualTo(Totals.VIOLATED);
        assertThat(totals(OptionalLong.of(2)).exitCode()).isEqualTo(Totals.VIOLATED);
        assertThat(totals(OptionalLong.empty()).exitCode()).isEqualTo(Totals.NOT_MEASURED);
    }
}
