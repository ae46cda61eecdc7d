package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdaptiveConcurrencyLimitTest {
    @Test
    void should_use_all_slots_before_anything_is_known() {
        // when, then
        assertThat(new AdaptiveConcurrencyLimit().limit(9)).isEqualTo(9);
    }

    @Test
    void should_use_all_slots_of_an_upstream_that_keeps_its_speed() {
        // when, then
        assertThat(learnt(calls -> 1.0).limit(9)).isEqualTo(9);
    }

    @Test
    void should_stay_below_the_number_of_calls_from_which_an_upstream_is_crowded() {
        // when, then
        assertThat(learnt(calls -> calls > 7 ? 1.7 : 1.0).limit(9)).isEqualTo(7);
    }

    @Test
    void should_keep_slots_that_slow_calls_but_serve_more_of_them() {
        // when, then
        assertThat(learnt(calls -> calls > 8 ? 1.1 : 1.0).limit(9)).isEqualTo(9);
    }

    @Test
    void should_never_use_less_than_half_of_the_slots() {
        // when, then
        assertThat(learnt(calls -> calls > 1 ? 20.0 : 1.0).limit(8)).isAtLeast(4);
    }

    private interface Stretch {
        double at(int calls);
    }

    private static AdaptiveConcurrencyLimit learnt(Stretch stretch) {
        SplittableRandom random = new SplittableRandom(3);
        AdaptiveConcurrencyLimit curve = new AdaptiveConcurrencyLimit();
        for (int i = 0; i < 1000; i++) {
            int calls = 1 + random.nextInt(9);
            double spread = Math.exp(0.3 * random.nextGaussian());
            curve.onAnswered(calls, stretch.at(calls) * spread);
        }
        return curve;
    }
}
