package org.damaskmoor.soak.verification;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;
import org.damaskmoor.soak.verification.RunLedger.Run;
import org.junit.jupiter.api.Test;

class NoticeCheckerTest {
    private static final int ENTRY = 2;
    private static final String UPSTREAM = "upstream-1-1";
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;

    private final DisturbanceLog disturbances = new DisturbanceLog();
    private final RunLedger ledger = new RunLedger();
    private final NoticeChecker checker = new NoticeChecker(disturbances, ledger);
    private final List<Exchange> exchanges = new ArrayList<>();

    @Test
    void should_report_a_limit_that_is_exceeded_after_the_grace_time() {
        // given
        send(10, 0);
        for (int i = 0; i < 40; i++) {
            send(5000 + 50L * i, 0);
        }

        // then
        assertThat(limitViolations()).hasSize(1);
    }

    @Test
    void should_allow_requests_up_to_one_and_a_half_times_the_limit_and_some_more() {
        // given
        send(10, 0);
        for (int i = 0; i < 17; i++) {
            send(5000 + 230L * i, 0);
        }

        // then
        assertThat(limitViolations()).isEmpty();
    }

    @Test
    void should_not_count_requests_of_a_relay_that_was_not_told_or_that_was_disturbed() {
        // given
        for (int i = 0; i < 40; i++) {
            exchanges.add(exchange("unanswered-" + i, 5000, Exchange.End.CLOSED, 0, ""));
            ledger.record("unanswered-" + i, new Run(1, UPSTREAM, 5010));
        }
        assertThat(limitViolations()).isEmpty();

        // when
        send(10, 0);
        disturbances.begin(Component.PROCESS, ENTRY, 3000).accept(3500);

        // then
        assertThat(limitViolations()).isEmpty();
    }

    @Test
    void should_report_a_request_sent_after_the_drain_time_of_a_leaving_upstream() {
        // given
        send(10, 0);
        send(2000, 0);
        send(4000, 0);

        // then
        assertThat(leavingViolations()).hasSize(1);
    }

    /** A relay that makes an answer itself has not heard of the notice by it. */
    @Test
    void should_not_take_an_answer_of_the_relay_for_one_that_was_passed_on() {
        // given a request that the relay gave up before it ran
        exchanges.add(exchange("given-up", 0, Exchange.End.ANSWERED, BAD_GATEWAY, ""));
        ledger.record("given-up", new Run(1, UPSTREAM, 1000));
        send(3000, 0);

        // then
        assertThat(leavingViolations()).isEmpty();

        // when
        send(5600, 0);

        // then
        assertThat(leavingViolations()).hasSize(1);
    }

    @Test
    void should_not_take_an_answer_of_another_upstream_for_one_with_the_notice() {
        // given a request that ran at the leaving upstream, and was answered by another one
        exchanges.add(exchange("twice", 0, Exchange.End.ANSWERED, OK, "upstream-1-10.7"));
        ledger.record("twice", new Run(1, UPSTREAM, 10));
        send(3000, 0);

        // then
        assertThat(leavingViolations()).isEmpty();
    }

    private List<String> leavingViolations() {
        return checker.violations(exchanges, List.of(Notice.leaving(UPSTREAM, 0)));
    }

    private List<String> limitViolations() {
        return checker.violations(exchanges, List.of(Notice.limit(UPSTREAM, 2, 0, 20_000)));
    }

    private void send(long at, long took) {
        String id = "r" + exchanges.size();
        exchanges.add(exchange(id, at, Exchange.End.ANSWERED, OK, UPSTREAM + "." + id));
        ledger.record(id, new Run(1, UPSTREAM, at + took));
    }

    private static Exchange exchange(
            String id, long at, Exchange.End end, int status, String stamp) {
        return new Exchange(id, ENTRY, false, 0, at, at + 20, end, status, stamp, true);
    }
}
