package org.damaskmoor.bench.verification;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.verification.Violation.Kind;
import org.junit.jupiter.api.Test;

class InvariantCheckerTest {
    private static CallRecord booking(int attempt, Outcome outcome, String reason) {
        return new CallRecord(
                "staff", "key-1", attempt, true, false, outcome, reason, "", false, "entry", 1);
    }

    private static List<Kind> kinds(List<UpstreamRuns> runs, CallRecord... records) {
        return new InvariantChecker(runs)
                .check(List.of(records)).stream().map(Violation::kind).toList();
    }

    private static UpstreamRuns runs(Integer... attempts) {
        return new UpstreamRuns("key-1", List.of(attempts));
    }

    @Test
    void should_find_nothing_when_an_unknown_booking_ran_and_its_resend_was_refused() {
        assertThat(
                        kinds(
                                List.of(runs(1)),
                                booking(1, Outcome.UNKNOWN, "timeout"),
                                booking(2, Outcome.REFUSED, "claimed-elsewhere")))
                .isEmpty();
    }

    @Test
    void should_find_a_doubled_run_when_two_upstreams_ran_the_same_key() {
        assertThat(
                        kinds(
                                List.of(runs(1), runs(2)),
                                booking(1, Outcome.UNKNOWN, "timeout"),
                                booking(2, Outcome.ANSWERED, "status-200")))
                .containsExactly(Kind.RAN_TWICE);
    }

    @Test
    void should_find_a_false_not_run_when_the_refused_attempt_ran() {
        assertThat(kinds(List.of(runs(1)), booking(1, Outcome.REFUSED, "queue-full")))
                .containsExactly(Kind.FALSE_NOT_RUN);
    }

    @Test
    void should_find_a_crossed_answer_when_a_body_was_not_its_own() {
        CallRecord crossed =
                new CallRecord(
                        "staff",
                        "",
                        1,
                        false,
                        false,
                        Outcome.ANSWERED,
                        "status-200",
                        "",
                        true,
                        "entry",
                        1);

        assertThat(kinds(List.of(), crossed)).containsExactly(Kind.CROSSED_ANSWER);
    }

    @Test
    void should_find_a_lost_booking_when_it_was_answered_and_never_ran() {
        assertThat(kinds(List.of(), booking(1, Outcome.ANSWERED, "status-200")))
                .containsExactly(Kind.ANSWERED_WITHOUT_RUN);
    }
}
