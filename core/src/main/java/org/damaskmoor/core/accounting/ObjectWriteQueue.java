package org.damaskmoor.core.accounting;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Queue of objects with idempotent names, written one at a time and retried until each exists in
 * the store.
 *
 * <p>Invariants: one write is in flight at most; an object leaves the queue only after it was
 * written or already existed; the pause after failures doubles up to a bound. Callers of {@link
 * #add} must bound the length. Not thread-safe.
 */
public final class ObjectWriteQueue implements ObjectWriteSource {
    private static final int MAXIMUM_PAUSE_FACTOR = 64;

    private record Batch(ArrayDeque<NamedObject> objects, Runnable whenWritten) {}

    private final long retryNanoseconds;
    private final RandomGenerator random;
    private final ArrayDeque<Batch> batches = new ArrayDeque<>();
    private boolean inFlight;
    private long notBeforeNanoseconds;
    private boolean paused;
    private int pauseFactor = 1;

    /**
     * Creates an empty queue.
     *
     * @param retryNanoseconds pause after a first failure
     * @param random adds jitter to the pauses, so that nodes do not all write at once when the
     *     store recovers
     */
    public ObjectWriteQueue(long retryNanoseconds, RandomGenerator random) {
        this.retryNanoseconds = retryNanoseconds;
        this.random = random;
    }

    /** Adds objects; {@code whenWritten} runs once all of them are written. */
    public void add(List<NamedObject> objects, Runnable whenWritten) {
        batches.add(new Batch(new ArrayDeque<>(objects), whenWritten));
        finishBatches();
    }

    @Override
    public Optional<NamedObject> next(long nowNanoseconds) {
        boolean tooEarly = paused && nowNanoseconds - notBeforeNanoseconds < 0;
        if (inFlight || batches.isEmpty() || tooEarly) {
            return Optional.empty();
        }
        inFlight = true;
        return Optional.of(batches.peek().objects().peek());
    }

    @Override
    public void onWritten() {
        inFlight = false;
        paused = false;
        pauseFactor = 1;
        batches.peek().objects().remove();
        finishBatches();
    }

    @Override
    public void onFailed(long nowNanoseconds) {
        inFlight = false;
        paused = true;
        long pause = retryNanoseconds * pauseFactor;
        notBeforeNanoseconds = nowNanoseconds + pause / 2 + random.nextLong(pause / 2 + 1);
        pauseFactor = Math.min(pauseFactor * 2, MAXIMUM_PAUSE_FACTOR);
    }

    /** Returns whether nothing is left to write. */
    public boolean isEmpty() {
        return batches.isEmpty();
    }

    private void finishBatches() {
        while (!batches.isEmpty() && batches.peek().objects().isEmpty()) {
            batches.remove().whenWritten().run();
        }
    }
}
