package org.damaskmoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RouteStatisticsTest {
    private final RouteStatistics statistics = new RouteStatistics();

    @Test
    void should_derive_the_time_on_an_idle_vm_from_answers_of_slow_vms() {
        // when
        for (int i = 0; i < 50; i++) {
            statistics.onAnswered("read", 500, 5, 2);
        }

        // then
        assertThat(statistics.meanMilliseconds("read")).isWithin(1).of(100);
    }

    @Test
    void should_return_zero_for_a_route_without_answers() {
        // when, then
        assertThat(statistics.meanMilliseconds("read")).isEqualTo(0.0);
        assertThat(statistics.isDeadlineTooShort("read", 1)).isFalse();
    }

    @Test
    void should_correct_a_mean_from_a_time_when_upstreams_were_slow() {
        // given
        for (int i = 0; i < 50; i++) {
            statistics.onAnswered("read", 2000, 1, 2);
        }

        // when calls have 1,000 ms left, and those that are sent take 100 ms
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            if (statistics.isDeadlineTooShort("read", 1000)) {
                refused++;
            } else {
                statistics.onAnswered("read", 100, 1, 2);
            }
        }

        // then
        assertThat(refused).isLessThan(100);
        assertThat(statistics.isDeadlineTooShort("read", 1000)).isFalse();
    }
}
