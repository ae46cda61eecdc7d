package org.damaskmoor.core.buffer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {
    private static final int CAPACITY = 1000;
    private static final int MESSAGE = 300;
    private static final int PART = 50;

    private final BufferBudget<Integer> budget = new BufferBudget<>(CAPACITY);

    @Test
    void should_let_only_the_first_reader_continue_above_the_capacity() {
        // given
        budget.add(1, 600);

        // when
        boolean secondMayContinue = budget.add(2, 600);
        boolean firstMayContinue = budget.add(1, 100);

        // then
        assertThat(secondMayContinue).isFalse();
        assertThat(firstMayContinue).isTrue();
    }

    @Test
    void should_resume_all_readers_when_the_sum_is_within_the_capacity_again() {
        // given
        budget.add(1, 900);
        budget.add(2, 200);
        budget.add(3, 200);

        // when
        List<Integer> resumed = budget.release(1);

        // then
        assertThat(resumed).containsExactly(2, 3);
        assertThat(budget.sumBytes()).isEqualTo(400);
    }

    @Test
    void should_resume_the_next_reader_when_the_sum_is_still_above_the_capacity() {
        // given
        budget.add(1, 500);
        budget.add(2, 900);
        budget.add(3, 900);

        // when, then
        assertThat(budget.release(1)).containsExactly(2);
    }

    @Test
    void should_not_change_when_an_unknown_reader_is_released() {
        // given
        budget.add(1, 500);

        // when, then
        assertThat(budget.release(2)).isEmpty();
        assertThat(budget.sumBytes()).isEqualTo(500);
    }

    /** Replays 500 peers that all send a large message at once. */
    @Test
    void should_complete_every_message_within_the_bound_when_500_arrive_at_once() {
        // given
        Random random = new Random(4);
        Map<Integer, Integer> received = new HashMap<>();
        ArrayDeque<Integer> readable = new ArrayDeque<>();
        for (int reader = 0; reader < 500; reader++) {
            received.put(reader, 0);
            readable.add(reader);
        }

        // when
        long greatestSum = 0;
        while (!readable.isEmpty()) {
            Integer reader = random.nextBoolean() ? readable.pollFirst() : readable.pollLast();
            received.merge(reader, PART, Integer::sum);
            boolean mayContinue = budget.add(reader, PART);
            greatestSum = Math.max(greatestSum, budget.sumBytes());
            if (received.get(reader) >= MESSAGE) {
                received.remove(reader);
                readable.addAll(budget.release(reader));
            } else if (mayContinue) {
                readable.add(reader);
            }
        }

        // then
        assertThat(received).isEmpty();
        assertThat(greatestSum).isAtMost(CAPACITY + MESSAGE + 500L * PART);
        assertThat(budget.sumBytes()).isEqualTo(0);
    }
}
