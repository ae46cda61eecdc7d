package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.damaskmoor.core.queueing.QueueDecision.Kind;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final double AMPLE_MILLISECONDS = 60_000;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>();

    @Test
    void should_start_calls_up_to_the_limit_and_queue_the_next_one() {
        // given
        queue.setLimit(2);

        // when, then
        assertThat(offer("a", 1, 5000)).isEqualTo(Kind.START);
        assertThat(offer("b", 1, 5000)).isEqualTo(Kind.START);
        assertThat(offer("c", 1, 5000)).isEqualTo(Kind.WAIT);
        assertThat(queue.running()).isEqualTo(2);
    }

    @Test
    void should_send_a_call_back_when_another_target_is_better_by_more_than_the_wait() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision decision =
                queue.offer(new QueuedCall<>("b", 1, 5000, 9000, 100, 20, false), 0, true, 0);

        // then
        assertThat(decision.kind()).isEqualTo(Kind.SEND_BACK);
        assertThat(decision.retryAfterMilliseconds()).isGreaterThan(0L);
    }

    @Test
    void should_queue_a_call_without_other_targets_even_beyond_its_spare_time() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision decision =
                queue.offer(new QueuedCall<>("b", 1, 5000, 9000, 100, 0, true), 0, true, 0);

        // then
        assertThat(decision.kind()).isEqualTo(Kind.WAIT);
    }

    @Test
    void should_send_back_a_call_that_cannot_be_served_in_time() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision decision =
                queue.offer(new QueuedCall<>("b", 1, 120, 150, 100, 0, true), 0, true, 0);

        // then
        assertThat(decision.kind()).isEqualTo(Kind.SEND_BACK);
    }

    @Test
    void should_queue_a_call_while_calls_may_not_start() {
        // when, then
        assertThat(
                        queue.offer(
                                        new QueuedCall<>(
                                                "a", 1, 5000, 9000, 100, AMPLE_MILLISECONDS, false),
                                        90,
                                        false,
                                        0)
                                .kind())
                .isEqualTo(Kind.WAIT);
        assertThat(queue.poll(50)).isEqualTo("a");
    }

    @Test
    void should_start_the_highest_priority_first() {
        // given
        offer("running", 1, 5000);
        offer("later", 2, 1000);
        offer("urgent", 0, 5000);

        // when
        queue.onAnswered(100);

        // then
        assertThat(queue.poll(10)).isEqualTo("urgent");
    }

    @Test
    void should_start_calls_that_meet_their_objective_before_those_that_miss_it() {
        // given
        offer("running", 1, 5000);
        offer("missing", 1, 250);
        offer("reaching", 1, 1000);

        // when
        queue.onAnswered(100);

        // then
        assertThat(queue.poll(200)).isEqualTo("reaching");
    }

    @Test
    void should_start_a_short_call_before_long_ones_even_when_it_is_late() {
        // given
        offer("running", 1, 5000);
        offer("long", 1, 1000);
        queue.offer(
                new QueuedCall<>("short", 1, 20, 9000, 10, AMPLE_MILLISECONDS, true), 0, true, 0);

        // when
        queue.onAnswered(100);

        // then
        assertThat(queue.poll(200)).isEqualTo("short");
    }

    @Test
    void should_displace_the_lowest_priority_when_the_queue_is_full() {
        // given
        offer("running", 1, 50_000);
        for (int i = 0; i < 4; i++) {
            assertThat(offer("low" + i, 2, 50_000 + i)).isEqualTo(Kind.WAIT);
        }

        // when
        Kind urgent = offer("urgent", 0, 50_000);

        // then
        assertThat(urgent).isEqualTo(Kind.WAIT);
        assertThat(queue.drainDisplaced()).containsExactly("low3");
        assertThat(queue.drainDisplaced()).isEmpty();
    }

    @Test
    void should_remove_calls_that_can_no_longer_finish_before_their_deadline() {
        // given
        offer("running", 1, 5000);
        queue.offer(
                new QueuedCall<>("soon", 1, 5000, 600, 100, AMPLE_MILLISECONDS, true), 0, true, 0);

        // when, then
        assertThat(queue.removeExpired(400)).isEmpty();
        assertThat(queue.removeExpired(525)).containsExactly("soon");
        assertThat(queue.waiting()).isEqualTo(0);
    }

    @Test
    void should_send_back_a_call_that_will_miss_its_objective_under_pressure() {
        // given
        offer("running", 1, 5000);
        offer("waiting", 1, 5000);

        // when
        QueueDecision late =
                queue.offer(new QueuedCall<>("late", 1, 150, 90_000, 100, 0, true), 0, true, 0);

        // then
        assertThat(late.kind()).isEqualTo(Kind.SEND_BACK);
    }

    @Test
    void should_expect_a_longer_wait_when_higher_priority_calls_keep_arriving() {
        // given
        for (int i = 0; i < 200; i++) {
            offer("urgent" + i, 0, 50_000);
            queue.drainAll();
            queue.onAnswered(100);
        }
        offer("running", 0, 50_000);

        // when
        QueueDecision low =
                queue.offer(new QueuedCall<>("low", 2, 550, 900, 100, 0, true), 0, true, 0);
        QueueDecision high =
                queue.offer(new QueuedCall<>("high", 0, 550, 900, 100, 0, true), 0, true, 0);

        // then
        assertThat(low.kind()).isEqualTo(Kind.SEND_BACK);
        assertThat(high.kind()).isEqualTo(Kind.WAIT);
    }

    @Test
    void should_not_start_a_call_that_was_removed() {
        // given
        offer("running", 1, 5000);
        offer("gone", 1, 5000);

        // when
        boolean removed = queue.remove("gone");
        queue.onAnswered(100);

        // then
        assertThat(removed).isTrue();
        assertThat(queue.poll(10)).isNull();
    }

    @Test
    void should_send_back_a_call_before_its_deadline_when_the_upstream_became_slow() {
        // given
        queue.setLimit(20);
        for (int i = 0; i < 20; i++) {
            offer("running" + i, 1, 5000);
        }
        for (int i = 0; i < 3; i++) {
            Kind kind = offerAt("waiting" + i, 1, 500 + i, 3000, 100, 0);
            assertThat(kind).isEqualTo(Kind.WAIT);
        }

        // when
        for (int i = 0; i < 15; i++) {
            queue.onAnswered(1500);
        }
        queue.setLimit(1);

        // then
        assertThat(queue.removeExpired(900)).isNotEmpty();
    }

    /**
     * Replays a service whose slots are all taken by long calls, while calls of other upstreams
     * arrive that are short and of higher priority.
     */
    @Test
    void should_serve_short_urgent_calls_when_long_calls_take_all_slots() {
        // given
        queue.setLimit(6);
        Random random = new Random(7);
        PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparing(Running::endsAt));
        int urgentOffered = 0;
        int urgentSentBack = 0;

        // when
        for (long now = 0; now < 60_000; now += 5) {
            while (!running.isEmpty() && running.peek().endsAt() <= now) {
                Running ended = running.poll();
                queue.onAnswered((double) (ended.endsAt() - ended.startedAt()));
            }
            queue.removeExpired(now);
            if (random.nextInt(100) < 6) {
                start(offerAt("long", 2, now + 2000, now + 6000, 700, now), "long", now, running);
            }
            if (random.nextInt(100) < 4) {
                urgentOffered++;
                Kind kind = offerAt("urgent", 0, now + 150, now + 600, 55, now);
                urgentSentBack += kind == Kind.SEND_BACK ? 1 : 0;
                start(kind, "urgent", now, running);
            }
            for (String next = queue.poll(now); next != null; next = queue.poll(now)) {
                start(Kind.START, next, now, running);
            }
        }

        // then
        assertThat(urgentOffered).isGreaterThan(300);
        assertThat((double) urgentSentBack / urgentOffered).isLessThan(0.1);
    }

    private record Running(long startedAt, long endsAt) {}

    private static void start(Kind kind, String name, long now, PriorityQueue<Running> running) {
        if (kind == Kind.START) {
            running.add(new Running(now, now + (name.equals("long") ? 700 : 55)));
        }
    }

    private Kind offerAt(
            String name,
            int priority,
            long objectiveAt,
            long deadlineAt,
            double service,
            long now) {
        return queue.offer(
                        new QueuedCall<>(
                                name,
                                priority,
                                objectiveAt,
                                deadlineAt,
                                service,
                                AMPLE_MILLISECONDS,
                                true),
                        0,
                        true,
                        now)
                .kind();
    }

    private Kind offer(String name, int priority, long objectiveAt) {
        return queue.offer(
                        new QueuedCall<>(
                                name, priority, objectiveAt, 90_000, 100, AMPLE_MILLISECONDS, true),
                        0,
                        true,
                        0)
                .kind();
    }
}
