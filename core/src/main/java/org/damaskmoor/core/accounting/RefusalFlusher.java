package org.damaskmoor.core.accounting;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Flushes closed groups of the node's own refusals, and what dead owners left with its buddy, to
 * the object store.
 *
 * <pre>{@code
 * flusher.tick(now);
 * flusher.next(now).ifPresent(object -> store.putIfAbsent(object.name(), object.content())
 *         .whenComplete((result, failure) -> ...));  // onWritten() or onFailed(now), same thread
 * }</pre>
 *
 * <p>At an interval of a minute, 2,800 nodes that all refuse write about 47 objects a second,
 * because the first flush of each is at a random time. While the store is down one closed and one
 * open group are kept, each folded at its bound.
 *
 * <p>While no peer stores the node's refusals, they are flushed every 15 seconds, since then they
 * have no second copy; 2,800 such nodes write about 190 objects a second.
 *
 * <p>Invariant: a group is reported as flushed only when all of its objects stand. Not thread-safe.
 */
public final class RefusalFlusher implements ObjectWriteSource {
    private static final long DEGRADED_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(15);

    private final RefusalReplicator writer;
    private final RefusalReplica buddy;
    private final ObjectWriteQueue queue;
    private final long intervalNanoseconds;
    private long nextFlushNanoseconds;
    private long lastFlushNanoseconds;

    /**
     * A flusher that starts at {@code nowNanoseconds}.
     *
     * @param intervalNanoseconds time between flushes
     * @param random sets the first flush within the interval
     */
    public RefusalFlusher(
            RefusalReplicator writer,
            RefusalReplica buddy,
            ObjectWriteQueue queue,
            long intervalNanoseconds,
            RandomGenerator random,
            long nowNanoseconds) {
        this.writer = writer;
        this.buddy = buddy;
        this.queue = queue;
        this.intervalNanoseconds = intervalNanoseconds;
        lastFlushNanoseconds = nowNanoseconds;
        nextFlushNanoseconds = nowNanoseconds + random.nextLong(intervalNanoseconds);
    }

    /** Queues what is due. */
    public void tick(long nowNanoseconds) {
        if (nowNanoseconds - nextFlushNanoseconds >= 0 || isUrgent(nowNanoseconds)) {
            lastFlushNanoseconds = nowNanoseconds;
            nextFlushNanoseconds = nowNanoseconds + intervalNanoseconds;
            flush(nowNanoseconds);
        }
        buddy.takeOrphaned()
                .forEach(
                        group -> queue.add(RefusalObjects.of(group), () -> buddy.onFlushed(group)));
    }

    private boolean isUrgent(long nowNanoseconds) {
        return writer.isDegraded()
                && nowNanoseconds - lastFlushNanoseconds >= DEGRADED_INTERVAL_NANOSECONDS;
    }

    /** Queues the node's own refusals now, for example before a planned stop. */
    public void flush(long nowNanoseconds) {
        writer.closeGroup(nowNanoseconds)
                .ifPresent(group -> queue.add(RefusalObjects.of(group), writer::onFlushed));
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

    /** Whether nothing is left to write; a planned stop waits for it. */
    public boolean isIdle() {
        return queue.isEmpty();
    }
}
