package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls in front of an upstream that accepts fewer a second than its slots would allow. */
class CallPacerTest {
    private static final double AMPLE_MILLISECONDS = 60_000;

    private final CallPacer pacer = new CallPacer();

    @Test
    void should_start_calls_at_once_when_the_upstream_names_no_limit() {
        // when, then
        for (int i = 0; i < 100; i++) {
            assertThat(pacer.tryStart(0)).isTrue();
        }
        assertThat(pacer.waitMilliseconds(10, 0)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 1, 4.2, 60})
    void should_keep_the_limit_in_each_window_when_many_times_as_many_calls_come(double limit) {
        // given
        Random random = new Random(1);
        List<Long> starts = new ArrayList<>();
        pacer.onAnswer(OptionalDouble.of(limit), 0);

        // when
        for (long now = 0; now < 60_000; now += random.nextInt(8)) {
            boolean pause = now / 5000 % 3 == 2;
            if (!pause && pacer.tryStart(now)) {
                starts.add(now);
            }
        }

        // then
        for (long from = 0; from < 60_000; from += 100) {
            long begin = from;
            long inWindow = starts.stream().filter(at -> at >= begin && at < begin + 4000).count();
            assertThat((double) inWindow).isAtMost(1.5 * 4 * limit + 5);
        }
        assertThat((double) starts.size()).isAtLeast(0.9 * 40 * limit - 1);
    }

    @Test
    void should_tell_the_wait_until_the_pace_allows_a_start() {
        // given
        pacer.onAnswer(OptionalDouble.of(4), 0);
        assertThat(pacer.tryStart(0)).isTrue();

        // when, then
        assertThat(pacer.waitMilliseconds(0, 0)).isWithin(0.001).of(250);
        assertThat(pacer.waitMilliseconds(3, 0)).isWithin(0.001).of(1000);
        assertThat(pacer.tryStart(249)).isFalse();
        assertThat(pacer.tryStart(250)).isTrue();
    }

    @Test
    void should_prefer_what_the_upstream_says_to_hearsay() {
        // given
        pacer.onHearsay(2, 0);
        assertThat(pacer.limitPerSecond()).isEqualTo(OptionalDouble.of(2));

        // when
        pacer.onAnswer(OptionalDouble.empty(), 10);
        pacer.onHearsay(2, 20);

        // then
        assertThat(pacer.limitPerSecond()).isEqualTo(OptionalDouble.empty());
    }

    @Test
    void should_send_back_calls_that_the_pace_would_make_late() {
        // given
        AdmissionQueue<Integer> queue = new AdmissionQueue<>(pacer);
        queue.setLimit(9);
        pacer.onAnswer(OptionalDouble.of(2), 0);

        // when
        List<QueueDecision.Kind> decisions = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            QueuedCall<Integer> call =
                    new QueuedCall<>(i, 1, 800, 1500, 100, AMPLE_MILLISECONDS, false);
            decisions.add(queue.offer(call, 0, true, 0).kind());
        }

        // then
        assertThat(decisions)
                .containsExactly(
                        QueueDecision.Kind.START,
                        QueueDecision.Kind.WAIT,
                        QueueDecision.Kind.SEND_BACK,
                        QueueDecision.Kind.SEND_BACK)
                .inOrder();
        assertThat(queue.poll(400)).isNull();
        assertThat(queue.poll(500)).isEqualTo(1);
    }

    @Test
    void should_start_the_most_urgent_call_when_the_pace_allows_one() {
        // given
        AdmissionQueue<String> queue = new AdmissionQueue<>(pacer);
        queue.setLimit(9);
        pacer.onAnswer(OptionalDouble.of(2), 0);
        offer(queue, "first", 1);

        // when
        offer(queue, "less urgent", 2);
        offer(queue, "urgent", 0);

        // then
        assertThat(queue.poll(500)).isEqualTo("urgent");
        assertThat(queue.poll(1000)).isEqualTo("less urgent");
    }

    private static void offer(AdmissionQueue<String> queue, String call, int priority) {
        queue.offer(
                new QueuedCall<>(call, priority, 5000, 9000, 100, AMPLE_MILLISECONDS, false),
                0,
                true,
                0);
    }
}
