package org.damaskmoor.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.experiment.Scenario.Bound;
import org.damaskmoor.bench.experiment.Scenario.Fault;
import org.damaskmoor.bench.experiment.Scenario.FaultKind;
import org.damaskmoor.bench.experiment.Scenario.Measure;
import org.damaskmoor.bench.experiment.Scenario.Site;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.junit.jupiter.api.Test;

class VerdictTest {
    private static final double SECONDS = 1;

    @Test
    void should_be_met_or_missed_when_the_figure_is_on_either_side_of_the_bound() {
        // given
        PolicyResult product = result(Policy.PRODUCT, answered(100, 10), 3001);
        PolicyResult baseline = result(Policy.TWO_CHOICES, answered(100, 16), 0);

        // when
        List<Verdict> verdicts =
                Verdict.of(
                        scenario(
                                new Bound(Measure.P99_OF_TWO_CHOICES, 0.63),
                                new Bound(Measure.P999_OF_TWO_CHOICES, 0.62)),
                        List.of(product, baseline));

        // then
        assertThat(verdicts.stream().map(Verdict::status))
                .containsExactly("met", "missed", "missed", "met")
                .inOrder();
    }

    @Test
    void should_be_not_measured_when_two_choices_was_not_run() {
        // given
        PolicyResult product = result(Policy.PRODUCT, answered(100, 10), 0);

        // when
        List<Verdict> verdicts =
                Verdict.of(scenario(new Bound(Measure.P99_OF_TWO_CHOICES, 0.5)), List.of(product));

        // then
        assertThat(verdicts.get(0).status()).isEqualTo("not-measured");
    }

    @Test
    void should_count_an_error_as_slow_when_it_is_returned_fast() {
        // given
        CallRecord error = call(false, Outcome.ANSWERED, "status-500", 1);

        // when
        CallStatistics statistics = new CallStatistics(List.of(error));

        // then
        assertThat(statistics.answered()).isEqualTo(0);
        assertThat(statistics.failed()).isEqualTo(1);
        assertThat(statistics.latencies().getMaxValue())
                .isAtLeast(TimeUnit.MILLISECONDS.toNanos(CallStatistics.FAILURE_MILLISECONDS));
    }

    @Test
    void should_weigh_goodput_by_importance_relative_to_the_maximum_for_the_capacity() {
        // given
        List<CallRecord> records = new java.util.ArrayList<>();
        records.addAll(Collections.nCopies(50, call(true, Outcome.ANSWERED, "status-200", 1)));
        records.addAll(Collections.nCopies(25, call(false, Outcome.ANSWERED, "status-200", 1)));
        records.addAll(Collections.nCopies(125, call(false, Outcome.REFUSED, "overloaded", 1)));

        // when
        CallStatistics statistics = new CallStatistics(records);

        // then
        double maximum = 50 * 3 + 50;
        assertThat(statistics.goodput(100, statistics)).isWithin(1e-9).of((50 * 3 + 25) / maximum);
    }

    private static Scenario scenario(Bound... bounds) {
        return new Scenario(
                "test",
                1,
                List.of(new Site("spiez", "oberland", 1)),
                10,
                10,
                0,
                List.of("oberland"),
                new JsonObject(),
                new Fault(FaultKind.NONE, 0, 1, 0, 0),
                0,
                List.of(bounds));
    }

    private static PolicyResult result(
            Policy policy, List<CallRecord> records, long measuringBytes) {
        SiteCounters counters = new SiteCounters(records.size(), 100, 1, measuringBytes, 0);
        return new PolicyResult(
                "test",
                policy,
                new CallStatistics(records),
                new CallStatistics(List.of()),
                counters,
                SECONDS,
                1,
                10,
                0);
    }

    private static List<CallRecord> answered(int count, long milliseconds) {
        return Collections.nCopies(
                count, call(false, Outcome.ANSWERED, "status-200", milliseconds));
    }

    private static CallRecord call(
            boolean booking, Outcome outcome, String reason, long milliseconds) {
        return new CallRecord(
                "staff",
                "",
                1,
                booking,
                false,
                outcome,
                reason,
                "",
                false,
                "",
                TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }
}
