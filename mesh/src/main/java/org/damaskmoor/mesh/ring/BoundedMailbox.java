package org.damaskmoor.mesh.ring;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * Hands messages from any thread to the one thread of a duty, through a bounded ring.
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
 * duty's thread. Invariant: a message that was accepted is consumed exactly once, in the order of
 * its producer.
 *
 * @param <T> the type of the messages
 */
public final class BoundedMailbox<T> {
    /** Messages consumed in one go before other tasks of the duty get their turn. */
    private static final int BATCH_MESSAGES = 256;

    private final MpscArrayQueue<T> ring;
    private final Executor duty;
    private final Consumer<T> consumer;
    private final Runnable afterBatch;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /**
     * Creates an empty mailbox.
     *
     * @param capacity most messages waiting
     * @param duty runs a task on the duty's thread
     * @param consumer takes each message, on the duty's thread
     * @param afterBatch runs after each batch, on the duty's thread
     */
    public BoundedMailbox(int capacity, Executor duty, Consumer<T> consumer, Runnable afterBatch) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.duty = Objects.requireNonNull(duty, "duty");
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

    /** Messages waiting at this instant; an estimate while producers are active. */
    public int size() {
        return ring.size();
    }

    private void scheduleDrain() {
        if (scheduled.compareAndSet(false, true)) {
            duty.execute(this::drain);
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
        for (int i = 0; i < BATCH_MESSAGES; i++) {
            T message = ring.poll();
            if (message == null) {
                return;
            }
            consumer.accept(message);
        }
    }
}
