package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdaptiveConcurrencyLimitTest {
    @Test
    void should_use_all_slots_without_samples() {
        // when, then
        assertThat(new AdaptiveConcurrencyLimit().limit(9)).isEqualTo(9);
    }

    @Test
    void should_use_all_slots_when_concurrency_does_not_slow_the_upstream() {
        // when, then
        assertThat(trained(calls -> 1.0).limit(9)).isEqualTo(9);
    }

    @Test
    void should_stay_below_the_concurrency_that_slows_the_upstream() {
        // when, then
        assertThat(trained(calls -> calls > 7 ? 1.7 : 1.0).limit(9)).isEqualTo(7);
    }

    @Test
    void should_keep_slots_that_slow_calls_but_increase_throughput() {
        // when, then
        assertThat(trained(calls -> calls > 8 ? 1.1 : 1.0).limit(9)).isEqualTo(9);
    }

    @Test
    void should_never_use_fewer_than_half_of_the_slots() {
        // when, then
        assertThat(trained(calls -> calls > 1 ? 20.0 : 1.0).limit(8)).isAtLeast(4);
    }

    private interface Slowdown {
        double at(int calls);
    }

    private static AdaptiveConcurrencyLimit trained(Slowdown slowdown) {
        SplittableRandom random = new SplittableRandom(3);
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();
        for (int i = 0; i < 1000; i++) {
            int calls = 1 + random.nextInt(9);
            double noise = Math.exp(0.3 * random.nextGaussian());
            limit.onAnswered(calls, slowdown.at(calls) * noise);
        }
        return limit;
    }
}
