package org.damaskmoor.core.queueing;

import static com.google.common.truth.Truth.assertThat;

import org.damaskmoor.core.queueing.QueueDecision.Kind;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final double MUCH = 60_000;

    private final AdmissionQueue<String> room = new AdmissionQueue<>();

    @Test
    void should_start_calls_up_to_the_limit_and_let_the_next_one_wait() {
        // given
        room.setLimit(2);

        // when, then
        assertThat(offer("a", 1, 5000)).isEqualTo(Kind.START);
        assertThat(offer("b", 1, 5000)).isEqualTo(Kind.START);
        assertThat(offer("c", 1, 5000)).isEqualTo(Kind.WAIT);
        assertThat(room.running()).isEqualTo(2);
    }

    @Test
    void should_send_a_call_back_when_another_target_is_better_by_more_than_the_wait() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision verdict =
                room.offer(new QueuedCall<>("b", 1, 5000, 9000, 100, 20, false), 0, true, 0);

        // then
        assertThat(verdict.kind()).isEqualTo(Kind.SEND_BACK);
        assertThat(verdict.retryAfterMilliseconds()).isGreaterThan(0L);
    }

    @Test
    void should_keep_a_last_choice_although_another_target_would_have_been_better() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision verdict =
                room.offer(new QueuedCall<>("b", 1, 5000, 9000, 100, 0, true), 0, true, 0);

        // then
        assertThat(verdict.kind()).isEqualTo(Kind.WAIT);
    }

    @Test
    void should_refuse_at_once_what_can_not_be_served_in_time() {
        // given
        offer("a", 1, 5000);

        // when
        QueueDecision verdict =
                room.offer(new QueuedCall<>("b", 1, 120, 150, 100, 0, true), 0, true, 0);

        // then
        assertThat(verdict.kind()).isEqualTo(Kind.SEND_BACK);
    }

    @Test
    void should_not_start_a_call_in_a_slow_moment() {
        // when, then
        assertThat(
                        room.offer(
                                        new QueuedCall<>("a", 1, 5000, 9000, 100, MUCH, false),
                                        90,
                                        false,
                                        0)
                                .kind())
                .isEqualTo(Kind.WAIT);
        assertThat(room.poll(50)).isEqualTo("a");
    }

    @Test
    void should_let_the_most_urgent_go_first() {
        // given
        offer("running", 1, 5000);
        offer("later", 2, 1000);
        offer("urgent", 0, 5000);

        // when
        room.onAnswered(100);

        // then
        assertThat(room.poll(10)).isEqualTo("urgent");
    }

    @Test
    void should_let_calls_that_reach_their_objective_go_before_those_that_miss_it() {
        // given
        offer("running", 1, 5000);
        offer("missing", 1, 250);
        offer("reaching", 1, 1000);

        // when
        room.onAnswered(100);

        // then
        assertThat(room.poll(200)).isEqualTo("reaching");
    }

    @Test
    void should_let_a_short_call_go_before_long_ones_even_when_it_is_late() {
        // given
        offer("running", 1, 5000);
        offer("long", 1, 1000);
        room.offer(new QueuedCall<>("short", 1, 20, 9000, 10, MUCH, true), 0, true, 0);

        // when
        room.onAnswered(100);

        // then
        assertThat(room.poll(200)).isEqualTo("short");
    }

    @Test
    void should_displace_the_least_urgent_when_the_room_is_full() {
        // given
        offer("running", 1, 50_000);
        for (int i = 0; i < 4; i++) {
            assertThat(offer("low" + i, 2, 50_000 + i)).isEqualTo(Kind.WAIT);
        }

        // when
        Kind urgent = offer("urgent", 0, 50_000);

        // then
        assertThat(urgent).isEqualTo(Kind.WAIT);
        assertThat(room.drainDisplaced()).containsExactly("low3");
        assertThat(room.drainDisplaced()).isEmpty();
    }

    @Test
    void should_take_out_what_can_no_longer_end_before_its_deadline() {
        // given
        offer("running", 1, 5000);
        room.offer(new QueuedCall<>("soon", 1, 5000, 600, 100, MUCH, true), 0, true, 0);

        // when, then
        assertThat(room.removeExpired(400)).isEmpty();
        assertThat(room.removeExpired(525)).containsExactly("soon");
        assertThat(room.waiting()).isEqualTo(0);
    }

    @Test
    void should_take_no_call_that_will_miss_its_objective_while_others_press() {
        // given
        offer("running", 1, 5000);
        offer("waiting", 1, 5000);

        // when
        QueueDecision late =
                room.offer(new QueuedCall<>("late", 1, 150, 90_000, 100, 0, true), 0, true, 0);

        // then
        assertThat(late.kind()).isEqualTo(Kind.SEND_BACK);
    }

    @Test
    void should_expect_a_longer_wait_where_more_urgent_calls_keep_coming() {
        // given
        for (int i = 0; i < 200; i++) {
            offer("urgent" + i, 0, 50_000);
            room.drainAll();
            room.onAnswered(100);
        }
        offer("running", 0, 50_000);

        // when
        QueueDecision low =
                room.offer(new QueuedCall<>("low", 2, 550, 900, 100, 0, true), 0, true, 0);
        QueueDecision high =
                room.offer(new QueuedCall<>("high", 0, 550, 900, 100, 0, true), 0, true, 0);

        // then
        assertThat(low.kind()).isEqualTo(Kind.SEND_BACK);
        assertThat(high.kind()).isEqualTo(Kind.WAIT);
    }

    @Test
    void should_forget_a_call_that_was_taken_out() {
        // given
        offer("running", 1, 5000);
        offer("gone", 1, 5000);

        // when
        boolean removed = room.remove("gone");
        room.onAnswered(100);

        // then
        assertThat(removed).isTrue();
        assertThat(room.poll(10)).isNull();
    }

    private Kind offer(String name, int priority, long objectiveAt) {
        return room.offer(
                        new QueuedCall<>(name, priority, objectiveAt, 90_000, 100, MUCH, true),
                        0,
                        true,
                        0)
                .kind();
    }
}
