package org.damaskmoor.mesh.ring;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class BoundedMailboxTest {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final List<Integer> consumed = new ArrayList<>();

    @Test
    void should_consume_in_order_when_the_consumer_thread_runs() {
        // given
        BoundedMailbox<Integer> mailbox = mailbox(512);
        for (int i = 0; i < 500; i++) {
            mailbox.offer(i);
        }

        // when
        runAllTasks();

        // then
        assertThat(consumed).hasSize(500);
        assertThat(consumed).isInOrder();
    }

    @Test
    void should_refuse_when_the_ring_is_full() {
        // given
        BoundedMailbox<Integer> mailbox = mailbox(4);
        for (int i = 0; i < 4; i++) {
            mailbox.offer(i);
        }

        // when
        boolean accepted = mailbox.offer(4);

        // then
        assertThat(accepted).isFalse();
    }

    @Test
    void should_continue_consuming_when_a_consumer_fails() {
        // given
        BoundedMailbox<Integer> mailbox =
                new BoundedMailbox<>(8, tasks::add, this::failOnZero, () -> {});
        mailbox.offer(0);
        mailbox.offer(1);

        // when
        runAllTasks();

        // then
        assertThat(consumed).containsExactly(1);
    }

    private void failOnZero(int message) {
        if (message == 0) {
            throw new IllegalStateException("zero");
        }
        consumed.add(message);
    }

    private BoundedMailbox<Integer> mailbox(int capacity) {
        return new BoundedMailbox<>(capacity, tasks::add, consumed::add, () -> {});
    }

    private void runAllTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            try {
                task.run();
            } catch (IllegalStateException expected) {
                assertThat(expected).hasMessageThat().isEqualTo("zero");
            }
        }
    }
}
