package org.damaskmoor.soak.verification;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;
import org.damaskmoor.soak.verification.Exchange.End;
import org.damaskmoor.soak.verification.RunLedger.Run;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GuaranteeCheckerTest {
    private static final int RELAY = 3;
    private static final String STAMP = "stamp-1";
    private static final Run RUN = new Run(1, "upstream-1-1", 20_010);
    private static final Run OTHER_RUN = new Run(2, "upstream-2-1", 20_030);

    private final DisturbanceLog disturbances = new DisturbanceLog();
    private final RunLedger ledger = new RunLedger();
    private final GuaranteeChecker checker = new GuaranteeChecker(disturbances, ledger);

    @BeforeEach
    void recordAnswer() {
        ledger.recordAnswer(STAMP, "r1", 200);
    }

    @Test
    void should_report_a_non_idempotent_request_that_ran_twice() {
        // given
        ledger.record("r1", RUN);
        ledger.record("r1", OTHER_RUN);

        // then
        assertThat(kinds(order(End.ANSWERED, 200, true, 20_050))).containsExactly("RAN_TWICE");
    }

    @Test
    void should_allow_an_idempotent_request_to_run_twice() {
        // given
        ledger.record("r1", RUN);
        ledger.record("r1", OTHER_RUN);

        // then
        assertThat(kinds(read(0, 20_000, End.ANSWERED, 200))).isEmpty();
    }

    @Test
    void should_report_a_not_run_answer_for_a_request_that_ran() {
        // given
        ledger.record("r1", RUN);

        // then
        assertThat(kinds(order(End.SAID_NOT_RUN, 503, true, 20_050)))
                .containsExactly("FALSE_NOT_RUN");
    }

    @Test
    void should_report_an_answer_that_belongs_to_another_request() {
        assertThat(kinds(order(End.ANSWERED, 200, false, 20_050)))
                .containsExactly("NOT_ITS_ANSWER");
    }

    @Test
    void should_report_a_success_where_the_upstream_answered_a_failure() {
        // given
        ledger.recordAnswer("stamp-2", "r1", 500);

        // then
        assertThat(kinds(answer(200, "stamp-2"))).containsExactly("NOT_ITS_STATUS");
        assertThat(kinds(answer(500, "stamp-2"))).isEmpty();
    }

    @Test
    void should_report_a_failure_of_the_upstream_with_another_status_than_it_gave() {
        assertThat(kinds(answer(500, STAMP))).containsExactly("NOT_ITS_STATUS");
        assertThat(kinds(answer(500, ""))).isEmpty();
    }

    @Test
    void should_report_a_success_that_no_run_of_the_request_gave() {
        // given
        ledger.recordAnswer("stamp-2", "r2", 200);

        // then
        assertThat(kinds(answer(200, ""))).containsExactly("NOT_ITS_STATUS");
        assertThat(kinds(answer(200, "stamp-2"))).containsExactly("NOT_ITS_STATUS");
        assertThat(kinds(answer(200, STAMP + "HTTP/1.1 500 Status")))
                .containsExactly("NOT_ITS_STATUS");
    }

    @Test
    void should_allow_the_answer_of_any_run_of_an_idempotent_request() {
        // given
        ledger.recordAnswer("stamp-2", "r1", 500);

        // then
        assertThat(kinds(answer(200, STAMP))).isEmpty();
        assertThat(kinds(answer(500, "stamp-2"))).isEmpty();
    }

    @Test
    void should_report_a_missing_answer_from_an_undisturbed_relay() {
        assertThat(kinds(order(End.CLOSED, 0, true, 20_050))).containsExactly("UNANSWERED");
        assertThat(kinds(order(End.NO_ANSWER, 0, true, 30_000))).containsExactly("UNANSWERED");
    }

    @Test
    void should_allow_a_missing_answer_from_a_killed_relay() {
        // given
        disturbances.begin(Component.PROCESS, RELAY, 20_020);

        // then
        assertThat(kinds(order(End.CLOSED, 0, true, 20_050))).isEmpty();
    }

    @Test
    void should_not_excuse_a_relay_by_a_disturbance_of_another_relay() {
        // given
        disturbances.begin(Component.PROCESS, RELAY + 1, 20_020);

        // then
        assertThat(kinds(order(End.CLOSED, 0, true, 20_050))).containsExactly("UNANSWERED");
    }

    @Test
    void should_report_a_request_that_a_planned_stop_lost() {
        // given
        disturbances.begin(Component.PLANNED_STOP, RELAY, 19_000);

        // then a request that has just arrived may be lost, but not one that ran or was queued
        assertThat(kinds(order(End.CLOSED, 0, true, 20_150))).isEmpty();
        assertThat(kinds(order(End.CLOSED, 0, true, 20_300))).containsExactly("UNANSWERED");
        ledger.record("r1", RUN);
        assertThat(kinds(order(End.CLOSED, 0, true, 20_150))).containsExactly("UNANSWERED");
    }

    @Test
    void should_report_a_route_that_is_missing_after_the_propagation_limit() {
        assertThat(staleRoutes(10_000, read(5, 12_400, End.ANSWERED, 404))).isEmpty();
        assertThat(staleRoutes(10_000, read(5, 12_600, End.ANSWERED, 404)))
                .containsExactly("OUTDATED");
    }

    @Test
    void should_not_expect_propagation_while_the_store_is_disturbed() {
        // given
        LongConsumer end = disturbances.begin(Component.STORE, 0, 9000);
        end.accept(11_000);

        // then
        assertThat(staleRoutes(10_000, read(5, 12_600, End.ANSWERED, 404))).isEmpty();
    }

    @Test
    void should_report_a_relay_that_returns_to_an_older_version() {
        assertThat(
                        staleRoutes(
                                10_000,
                                read(5, 10_500, End.ANSWERED, 200),
                                read(5, 11_000, End.ANSWERED, 404)))
                .containsExactly("STEPPED_BACK");
    }

    @Test
    void should_not_count_a_503_before_the_first_configuration_as_serving_a_version() {
        assertThat(
                        staleRoutes(
                                10_000,
                                read(5, 10_100, End.SAID_NOT_RUN, 503),
                                read(5, 10_500, End.ANSWERED, 404)))
                .isEmpty();
    }

    @Test
    void should_report_a_run_after_the_drain_grace_period() {
        // given
        ledger.record("r1", RUN);

        // then
        assertThat(checker.callsAfterDrain(Map.of("upstream-1-1", 18_000L))).isEmpty();
        assertThat(checker.callsAfterDrain(Map.of("upstream-1-1", 17_000L))).hasSize(1);
    }

    private List<String> kinds(Exchange exchange) {
        return names(checker.violations(List.of(exchange)));
    }

    private List<String> staleRoutes(long storedAt, Exchange... exchanges) {
        NavigableSet<Long> started = new TreeSet<>(List.of(1000L));
        return names(
                checker.staleRoutes(
                        List.of(exchanges), Map.of(5, storedAt), Map.of(RELAY, started)));
    }

    private static List<String> names(List<String> lines) {
        return lines.stream()
                .map(line -> line.substring(line.indexOf('=') + 1, line.indexOf(' ')))
                .toList();
    }

    private static Exchange order(End end, int status, boolean own, long endedAt) {
        return new Exchange("r1", RELAY, true, 0, 20_000, endedAt, end, status, stamp(status), own);
    }

    private static Exchange read(int version, long sentAt, End end, int status) {
        return new Exchange(
                "r1", RELAY, false, version, sentAt, sentAt + 50, end, status, stamp(status), true);
    }

    private static Exchange answer(int status, String stamp) {
        return new Exchange(
                "r1", RELAY, false, 0, 20_000, 20_050, End.ANSWERED, status, stamp, true);
    }

    private static String stamp(int status) {
        return status == 200 ? STAMP : "";
    }
}
