package org.damaskmoor.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ScheduleTest {
    private static final List<RequestKind> KINDS =
            List.of(
                    new RequestKind(3, "/visits", false, List.of("resident")),
                    new RequestKind(1, "/bookings", true, List.of("staff")));

    private static List<PlannedCall> plan(long seed) {
        return new Schedule(KINDS, new Random(seed), "run", Schedule.Shares.DEMO).plan(200, 5);
    }

    @Test
    void should_give_the_same_schedule_when_the_seed_is_the_same() {
        assertThat(plan(1)).isEqualTo(plan(1));
        assertThat(plan(1)).isNotEqualTo(plan(2));
    }

    @Test
    void should_order_by_due_time_with_unique_nonces_when_planned() {
        List<PlannedCall> calls = plan(1);

        assertThat(calls.stream().map(PlannedCall::dueNanoseconds).toList()).isInOrder();
        assertThat(calls.stream().map(PlannedCall::nonce).distinct().count())
                .isEqualTo(calls.size());
    }
}
