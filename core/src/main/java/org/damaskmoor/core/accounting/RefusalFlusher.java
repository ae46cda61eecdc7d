package org.damaskmoor.core.accounting;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Writes closed groups of the node's own refusals, and the groups of dead owners in its {@link
 * RefusalReplica}, to the object store.
 *
 * <pre>{@code
 * flusher.tick(now);
 * flusher.next(now).ifPresent(object -> store.putIfAbsent(object.name(), object.content())
 *         .whenComplete((result, failure) -> ...));  // onWritten() or onFailed(now), same thread
 * }</pre>
 *
 * <p>At an interval of a minute, 2,800 nodes that all refuse write about 47 objects a second,
 * because the first flush of each is at a random time. While the store is down, one closed and one
 * open group are kept, each folded at its key limit.
 *
 * <p>While no peer stores the node's refusals, they are flushed every 15 seconds, because they have
 * no second copy; 2,800 such nodes write about 190 objects a second.
 *
 * <p>Invariant: a group is reported as flushed only after all of its objects were written. Not
 * thread-safe.
 */
public final class RefusalFlusher implements ObjectWriteSource {
    private static final long DEGRADED_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(15);

    private final RefusalReplicator replicator;
    private final RefusalReplica replica;
    private final ObjectWriteQueue queue;
    private final long intervalNanoseconds;
    private long nextFlushNanoseconds;
    private long lastFlushNanoseconds;

    /**
     * Creates a flusher that starts at {@code nowNanoseconds}.
     *
     * @param intervalNanoseconds time between flushes
     * @param random chooses the time of the first flush within the interval
     */
    public RefusalFlusher(
            RefusalReplicator replicator,
            RefusalReplica replica,
            ObjectWriteQueue queue,
            long intervalNanoseconds,
            RandomGenerator random,
            long nowNanoseconds) {
        this.replicator = replicator;
        this.replica = replica;
        this.queue = queue;
        this.intervalNanoseconds = intervalNanoseconds;
        lastFlushNanoseconds = nowNanoseconds;
        nextFlushNanoseconds = nowNanoseconds + random.nextLong(intervalNanoseconds);
    }

    /** Queues the groups that are due. */
    public void tick(long nowNanoseconds) {
        if (nowNanoseconds - nextFlushNanoseconds >= 0 || isUrgent(nowNanoseconds)) {
            lastFlushNanoseconds = nowNanoseconds;
            nextFlushNanoseconds = nowNanoseconds + intervalNanoseconds;
            flush(nowNanoseconds);
        }
        replica.takeOrphaned()
                .forEach(
                        group ->
                                queue.add(
                                        RefusalObjects.of(group), () -> replica.onFlushed(group)));
    }

    private boolean isUrgent(long nowNanoseconds) {
        return replicator.isDegraded()
                && nowNanoseconds - lastFlushNanoseconds >= DEGRADED_INTERVAL_NANOSECONDS;
    }

    /** Queues the node's own refusals now, for example before a planned stop. */
    public void flush(long nowNanoseconds) {
        replicator
                .closeGroup(nowNanoseconds)
                .ifPresent(group -> queue.add(RefusalObjects.of(group), replicator::onFlushed));
    }

    @Override
    public Optional<NamedObject> next(long nowNanoseconds) {
        return queue.next(nowNanoseconds);
    }

    @Override
    public void onWritten() {
        queue.onWritten();
    }

    @Override
    public void onFailed(long nowNanoseconds) {
        queue.onFailed(nowNanoseconds);
    }

    /** Returns whether nothing is left to write; a planned stop waits for this. */
    public boolean isIdle() {
        return queue.isEmpty();
    }
}
