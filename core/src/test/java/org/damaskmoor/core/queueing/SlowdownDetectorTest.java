package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SlowdownDetectorTest {
    @Test
    void should_distinguish_a_transient_slowdown_from_lasting_slowness() {
        // given
        SlowdownDetector detector = new SlowdownDetector();
        detector.onReading(1, 0);

        // when
        detector.onReading(5, 100);

        // then
        assertThat(detector.isInSlowdown(150)).isTrue();
        assertThat(detector.isInSlowdown(600)).isFalse();
    }

    @Test
    void should_raise_the_baseline_after_lasting_slowness() {
        // given
        SlowdownDetector detector = new SlowdownDetector();
        detector.onReading(1, 0);

        // when
        for (long now = 100; now < 4000; now += 100) {
            detector.onReading(5, now);
        }

        // then
        assertThat(detector.baseline()).isEqualTo(5.0);
        assertThat(detector.isInSlowdown(4000)).isFalse();
    }

    @Test
    void should_not_treat_an_old_reading_as_fresh() {
        // given
        SlowdownDetector detector = new SlowdownDetector();
        detector.onReading(1, 0);

        // when, then
        assertThat(detector.isFresh(5)).isTrue();
        assertThat(detector.isFresh(50)).isFalse();
    }

    @Test
    void should_limit_the_delay_to_the_wait_for_the_end_of_a_slowdown() {
        // given
        SlowdownDetector detector = new SlowdownDetector();
        detector.onReading(1, 0);
        detector.onReading(5, 10);

        // when, then
        assertThat(detector.delayMilliseconds(1000, 1, 10)).isLessThan(200.0);
        assertThat(detector.delayMilliseconds(10, 1, 10)).isEqualTo(40.0);
    }

    /**
     * Simulates a VM that is five times slower in a quarter of its 150 ms intervals, where work
     * keeps the speed with which it started. The baseline starts each call on arrival.
     */
    @Test
    void should_reduce_the_time_of_work_on_a_vm_with_slowdowns() {
        // given
        SplittableRandom random = new SplittableRandom(20261204);
        double[] slowness = new double[4000];
        for (int i = 0; i < slowness.length; i++) {
            slowness[i] = random.nextDouble() < 0.25 ? 5 : 1;
        }
        double work = 220;
        double atOnce = 0;
        double withDetector = 0;
        int calls = 2000;
        SlowdownDetector detector = new SlowdownDetector();

        // when
        for (int call = 0; call < calls; call++) {
            long arrival = 200L * call;
            atOnce += work * slowness[(int) (arrival / 150)];
            long start = arrival;
            detector.onReading(slowness[(int) (start / 150)], start);
            while (detector.isInSlowdown(start)) {
                start += 20;
                detector.onReading(slowness[(int) (start / 150)], start);
            }
            withDetector += start - arrival + work * slowness[(int) (start / 150)];
        }

        // then
        assertThat(withDetector / atOnce).isLessThan(0.65);
    }
}
