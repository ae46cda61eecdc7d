package org.damaskmoor.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.damaskmoor.core.admission.AdmissionFixture.CREWS;
import static org.damaskmoor.core.admission.AdmissionFixture.RESIDENTS;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import java.util.Random;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    @Test
    void should_refuse_when_no_upstream_has_announced_itself() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(2, 4);
        fixture.controller.onUpstreamState(UpstreamState.ABSENT, 0, 0);

        // then
        assertThat(reason(fixture.offer())).isEqualTo(RefusalReason.UPSTREAM_UNREACHABLE);
    }

    @Test
    void should_queue_when_all_slots_are_taken_and_refuse_when_the_queue_is_full() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(1, 1);

        // then
        assertInstanceOf(AdmissionDecision.Admitted.class, fixture.offer());
        assertInstanceOf(AdmissionDecision.Queued.class, fixture.offer());
        assertThat(reason(fixture.offer())).isEqualTo(RefusalReason.QUEUE_FULL);
    }

    @Test
    void should_refuse_a_request_that_cannot_finish_within_its_deadline() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(2, 100);
        fixture.answer(20, 40);
        fixture.offer();
        fixture.offer();
        fixture.offer();

        // when
        AdmissionDecision tooShort = fixture.offer(fixture.request(RESIDENTS, 1, 50));
        AdmissionDecision longEnough = fixture.offer(fixture.request(RESIDENTS, 1, 100));

        // then
        assertThat(reason(tooShort)).isEqualTo(RefusalReason.DEADLINE_TOO_SHORT);
        assertThat(refusal(tooShort).retryAfterMilliseconds()).isAtLeast(40);
        assertInstanceOf(AdmissionDecision.Queued.class, longEnough);
    }

    @Test
    void should_admit_a_request_to_an_idle_upstream_regardless_of_past_latency() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(2, 100);
        fixture.answer(40, 2000);
        fixture.finishAll();

        // then
        assertInstanceOf(
                AdmissionDecision.Admitted.class,
                fixture.offer(fixture.request(RESIDENTS, 1, 1000)));
    }

    @Test
    void should_displace_a_less_important_request_for_a_more_important_one() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(1, 2);
        fixture.offer();
        AdmissionRequest lookup = fixture.request(RESIDENTS, 0, 5000);
        fixture.offer(lookup);
        fixture.offer(fixture.request(RESIDENTS, 1, 5000));

        // when
        AdmissionDecision booking = fixture.offer(fixture.request(RESIDENTS, 3, 5000));

        // then
        Refusal displaced =
                assertInstanceOf(AdmissionDecision.Queued.class, booking).displaced().get(0);
        assertThat(displaced.id()).isEqualTo(lookup.id());
        assertThat(displaced.reason()).isEqualTo(RefusalReason.OVERLOADED);
    }

    @Test
    void should_limit_each_caller_to_its_share_when_capacity_is_short() {
        // given
        AdmissionFixture fixture =
                new AdmissionFixture(1, new AdmissionOptions(0, 20, Map.of(RESIDENTS, 3)));
        for (int i = 0; i < 21; i++) {
            fixture.offer(fixture.request(CREWS, 1, 5000));
        }

        // when
        AdmissionDecision first = fixture.offer(fixture.request(RESIDENTS, 1, 5000));
        AdmissionDecision crews = fixture.offer(fixture.request(CREWS, 1, 5000));
        int residents = 1;
        while (fixture.offer(fixture.request(RESIDENTS, 1, 5000))
                instanceof AdmissionDecision.Queued) {
            residents++;
        }

        // then
        Refusal displaced =
                assertInstanceOf(AdmissionDecision.Queued.class, first).displaced().get(0);
        assertThat(displaced.reason()).isEqualTo(RefusalReason.CALLER_OVER_SHARE);
        assertThat(reason(crews)).isEqualTo(RefusalReason.CALLER_OVER_SHARE);
        assertThat(residents).isAtLeast(15);
        assertThat(residents).isAtMost(18);
    }

    @Test
    void should_queue_an_important_request_of_a_caller_over_its_share_when_less_important_wait() {
        // given
        AdmissionFixture fixture =
                new AdmissionFixture(1, new AdmissionOptions(0, 20, Map.of(RESIDENTS, 3)));
        fixture.offer(fixture.request(RESIDENTS, 1, 5000));
        for (int i = 0; i < 20; i++) {
            fixture.offer(fixture.request(CREWS, 1, 5000));
        }

        // when
        AdmissionDecision lookup = fixture.offer(fixture.request(CREWS, 1, 5000));
        AdmissionDecision booking = fixture.offer(fixture.request(CREWS, 3, 5000));

        // then
        assertThat(reason(lookup)).isEqualTo(RefusalReason.CALLER_OVER_SHARE);
        assertInstanceOf(AdmissionDecision.Queued.class, booking);
    }

    @Test
    void should_run_waiting_requests_and_refuse_new_ones_when_draining() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(1, 10);
        fixture.offer();
        AdmissionRequest waiting = fixture.request();
        fixture.offer(waiting);

        // when
        fixture.controller.drain();
        AdmissionDecision late = fixture.offer();
        fixture.finishOne(5, AdmissionOutcome.ANSWERED);

        // then
        assertThat(reason(late)).isEqualTo(RefusalReason.DRAINING);
        assertThat(fixture.dequeue().admitted()).containsExactly(waiting);
        assertThat(report(fixture).getState()).isEqualTo(UpstreamState.LEAVING);
        fixture.finishOne(5, AdmissionOutcome.ANSWERED);
        assertThat(fixture.controller.isIdle()).isTrue();
    }

    @Test
    void should_refuse_a_waiting_request_whose_deadline_passed() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(1, 10);
        fixture.offer();
        AdmissionRequest waiting = fixture.request(RESIDENTS, 1, 20);
        fixture.offer(waiting);

        // when
        fixture.advance(21);

        // then
        Refusal refusal = fixture.dequeue().refused().get(0);
        assertThat(refusal.id()).isEqualTo(waiting.id());
        assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_PASSED);
    }

    @Test
    void should_not_collapse_the_limit_when_latency_is_noisy() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(10, 100);
        Random random = new Random(7);

        // when
        for (int i = 0; i < 20_000; i++) {
            boolean spike = random.nextInt(50) == 0;
            double latency = -Math.log(1 - random.nextDouble()) * (spike ? 100 : 10);
            fixture.answer(1, Math.round(latency));

            // then
            assertThat(fixture.limit()).isAtLeast(5);
        }
    }

    @Test
    void should_lower_the_limit_when_latency_grows_and_restore_it_when_it_falls_again() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(10, 100);
        fixture.answer(200, 5);
        int before = fixture.limit();

        // when
        fixture.answer(200, 50);
        int slow = fixture.limit();
        fixture.answer(400, 5);

        // then
        assertThat(before).isEqualTo(10);
        assertThat(slow).isLessThan(10);
        assertThat(slow).isAtLeast(5);
        assertThat(fixture.limit()).isEqualTo(10);
    }

    @Test
    void should_lower_the_limit_to_one_when_the_upstream_keeps_shedding() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(10, 100);

        // when
        for (int i = 0; i < 100; i++) {
            fixture.offer();
            fixture.advance(25);
            fixture.finishOne(1, AdmissionOutcome.SHED);
        }

        // then
        assertThat(fixture.limit()).isEqualTo(1);
    }

    @Test
    void should_restore_the_limit_over_time_when_few_requests_arrive() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(10, 100);
        for (int i = 0; i < 100; i++) {
            fixture.offer();
            fixture.advance(25);
            fixture.finishOne(1, AdmissionOutcome.SHED);
        }

        // when
        fixture.advance(4000);
        int soon = fixture.limit();
        fixture.advance(6000);

        // then
        assertThat(soon).isEqualTo(5);
        assertThat(fixture.limit()).isEqualTo(10);
    }

    @Test
    void should_report_a_stall_before_its_first_late_answer() {
        // given
        AdmissionFixture fixture = new AdmissionFixture(10, 100);
        fixture.answer(100, 5);

        // when
        fixture.advance(50);

        // then
        assertThat(report(fixture).getLatencyMicroseconds()).isAtLeast(50_000);
    }

    private static LoadReport report(AdmissionFixture fixture) {
        return fixture.controller.loadReport(fixture.now);
    }

    private static Refusal refusal(AdmissionDecision decision) {
        return assertInstanceOf(AdmissionDecision.Refused.class, decision).refusal();
    }

    private static RefusalReason reason(AdmissionDecision decision) {
        return refusal(decision).reason();
    }
}
