package org.damaskmoor.core.accounting;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Writes objects under idempotent names one after another, and tries each until it stands.
 *
 * <p>Invariants: one write is in flight at most; an object leaves the queue only when it was
 * written or stood already; the pause after failures doubles up to a bound. Whoever adds bounds the
 * length. Not thread-safe.
 */
public final class ObjectWriteQueue implements ObjectWriteSource {
    private static final int LONGEST_PAUSE_FACTOR = 64;

    private record Batch(ArrayDeque<NamedObject> objects, Runnable whenWritten) {}

    private final long retryNanoseconds;
    private final RandomGenerator random;
    private final ArrayDeque<Batch> batches = new ArrayDeque<>();
    private boolean inFlight;
    private long notBeforeNanoseconds;
    private boolean paused;
    private int pauseFactor = 1;

    /**
     * An empty queue.
     *
     * @param retryNanoseconds pause after a first failure
     * @param random spreads the pauses, so that nodes do not all write when the store is back
     */
    public ObjectWriteQueue(long retryNanoseconds, RandomGenerator random) {
        this.retryNanoseconds = retryNanoseconds;
        this.random = random;
    }

    /** Adds objects; {@code whenWritten} runs once all of them stand. */
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
        pauseFactor = Math.min(pauseFactor * 2, LONGEST_PAUSE_FACTOR);
    }

    /** Whether nothing is left to write. */
    public boolean isEmpty() {
        return batches.isEmpty();
    }

    private void finishBatches() {
        while (!batches.isEmpty() && batches.peek().objects().isEmpty()) {
            batches.remove().whenWritten().run();
        }
    }
}
