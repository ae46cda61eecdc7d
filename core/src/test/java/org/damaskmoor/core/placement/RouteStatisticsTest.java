package org.damaskmoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RouteStatisticsTest {
    private final RouteStatistics work = new RouteStatistics();

    @Test
    void should_learn_the_time_on_an_idle_vm_from_answers_of_slow_ones() {
        // when
        for (int i = 0; i < 50; i++) {
            work.onAnswered("read", 500, 5, 2);
        }

        // then
        assertThat(work.meanMilliseconds("read")).isWithin(1).of(100);
    }

    @Test
    void should_know_nothing_of_a_route_without_answers() {
        // when, then
        assertThat(work.meanMilliseconds("read")).isEqualTo(0.0);
        assertThat(work.isDeadlineTooShort("read", 1)).isFalse();
    }

    @Test
    void should_unlearn_a_time_that_was_learnt_while_upstreams_were_slow() {
        // given
        for (int i = 0; i < 50; i++) {
            work.onAnswered("read", 2000, 1, 2);
        }

        // when calls with 1,000 ms left come, and those that are let through take 100 ms
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            if (work.isDeadlineTooShort("read", 1000)) {
                refused++;
            } else {
                work.onAnswered("read", 100, 1, 2);
            }
        }

        // then
        assertThat(refused).isLessThan(100);
        assertThat(work.isDeadlineTooShort("read", 1000)).isFalse();
    }
}
