package org.damaskmoor.mesh.ring;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * Passes messages from any thread to one consumer thread, through a bounded ring buffer.
 *
 * <p>Example:
 *
 * <pre>{@code
 * BoundedMailbox<Call> calls =
 *         new BoundedMailbox<>(1024, eventLoop::execute, worker::onCall, () -> {});
 * if (!calls.offer(call)) {
 *     refuse(call, RefusalReason.NODE_BUSY);
 * }
 * }</pre>
 *
 * <p>Thread safety: {@link #offer} may be called from any thread; the consumer runs only on the
 * consumer thread. Invariant: an accepted message is consumed exactly once, and messages of one
 * producer are consumed in order.
 *
 * @param <T> the type of the messages
 */
public final class BoundedMailbox<T> {
    /** Messages consumed before other tasks of the consumer thread may run. */
    private static final int MAXIMUM_BATCH_MESSAGES = 256;

    private final MpscArrayQueue<T> ring;
    private final Executor executor;
    private final Consumer<T> consumer;
    private final Runnable afterBatch;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /**
     * Creates an empty mailbox.
     *
     * @param capacity maximum number of waiting messages
     * @param executor runs a task on the consumer thread
     * @param consumer receives each message, on the consumer thread
     * @param afterBatch runs after each batch, on the consumer thread
     */
    public BoundedMailbox(
            int capacity, Executor executor, Consumer<T> consumer, Runnable afterBatch) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.executor = Objects.requireNonNull(executor, "executor");
        this.consumer = Objects.requireNonNull(consumer, "consumer");
        this.afterBatch = Objects.requireNonNull(afterBatch, "afterBatch");
    }

    /**
     * Adds a message.
     *
     * @return false when the ring is full; the message was not added
     */
    public boolean offer(T message) {
        if (!ring.offer(message)) {
            return false;
        }
        scheduleDrain();
        return true;
    }

    /** Returns the number of waiting messages; an estimate while producers are active. */
    public int size() {
        return ring.size();
    }

    private void scheduleDrain() {
        if (scheduled.compareAndSet(false, true)) {
            executor.execute(this::drain);
        }
    }

    private void drain() {
        scheduled.set(false);
        try {
            consumeBatch();
        } finally {
            afterBatch.run();
            if (!ring.isEmpty()) {
                scheduleDrain();
            }
        }
    }

    private void consumeBatch() {
        for (int i = 0; i < MAXIMUM_BATCH_MESSAGES; i++) {
            T message = ring.poll();
            if (message == null) {
                return;
            }
            consumer.accept(message);
        }
    }
}
