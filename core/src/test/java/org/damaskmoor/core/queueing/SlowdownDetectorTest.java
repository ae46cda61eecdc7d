package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SlowdownDetectorTest {
    @Test
    void should_tell_a_moment_from_lasting_slowness() {
        // given
        SlowdownDetector moments = new SlowdownDetector();
        moments.onReading(1, 0);

        // when
        moments.onReading(5, 100);

        // then
        assertThat(moments.isInSlowdown(150)).isTrue();
        assertThat(moments.isInSlowdown(600)).isFalse();
    }

    @Test
    void should_take_a_lasting_slowness_for_steady_once_the_best_is_long_ago() {
        // given
        SlowdownDetector moments = new SlowdownDetector();
        moments.onReading(1, 0);

        // when
        for (long now = 100; now < 4000; now += 100) {
            moments.onReading(5, now);
        }

        // then
        assertThat(moments.baseline()).isEqualTo(5.0);
        assertThat(moments.isInSlowdown(4000)).isFalse();
    }

    @Test
    void should_not_take_an_old_reading_for_fresh() {
        // given
        SlowdownDetector moments = new SlowdownDetector();
        moments.onReading(1, 0);

        // when, then
        assertThat(moments.isFresh(5)).isTrue();
        assertThat(moments.isFresh(50)).isFalse();
    }

    @Test
    void should_delay_by_no_more_than_the_wait_for_the_end_of_a_moment() {
        // given
        SlowdownDetector moments = new SlowdownDetector();
        moments.onReading(1, 0);
        moments.onReading(5, 10);

        // when, then
        assertThat(moments.delayMilliseconds(1000, 1, 10)).isLessThan(200.0);
        assertThat(moments.delayMilliseconds(10, 1, 10)).isEqualTo(40.0);
    }

    /**
     * Replays a VM that is five times slower in a quarter of its moments of 150 ms, where work
     * keeps the speed it started with: the former way starts at once.
     */
    @Test
    void should_halve_the_time_of_work_on_a_vm_with_slow_moments() {
        // given
        SplittableRandom random = new SplittableRandom(20261204);
        double[] slowness = new double[4000];
        for (int i = 0; i < slowness.length; i++) {
            slowness[i] = random.nextDouble() < 0.25 ? 5 : 1;
        }
        double work = 220;
        double atOnce = 0;
        double withMoments = 0;
        int calls = 2000;
        SlowdownDetector moments = new SlowdownDetector();

        // when
        for (int call = 0; call < calls; call++) {
            long arrival = 200L * call;
            atOnce += work * slowness[(int) (arrival / 150)];
            long start = arrival;
            moments.onReading(slowness[(int) (start / 150)], start);
            while (moments.isInSlowdown(start)) {
                start += 20;
                moments.onReading(slowness[(int) (start / 150)], start);
            }
            withMoments += start - arrival + work * slowness[(int) (start / 150)];
        }

        // then
        assertThat(withMoments / atOnce).isLessThan(0.65);
    }
}
