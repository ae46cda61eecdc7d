package org.damaskmoor.core.buffer;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the bytes that many readers hold together while each of them collects a message.
 *
 * <p>Answers the load pattern of many large messages at once. While the sum is above the capacity,
 * only the reader that started first continues; the others pause, so that their peers are slowed
 * down instead of memory running out. Since one reader can always finish, no reader waits for
 * another one that waits itself.
 *
 * <pre>{@code
 * if (!budget.add(reader, bytes)) { reader.pause(); }
 * // when the message is complete or was given up:
 * budget.release(reader).forEach(Reader::resume);
 * }</pre>
 *
 * <p>Invariant: at most one reader may add bytes while the sum is above the capacity, so the sum
 * exceeds it by at most one message and what the paused readers had already received. Not
 * thread-safe.
 *
 * @param <R> a reader; compared by {@code equals}
 */
public final class BufferBudget<R> {
    private final long capacityBytes;
    private final Map<R, Long> heldBytes = new LinkedHashMap<>();
    private final Set<R> paused = new HashSet<>();
    private long sumBytes;

    /** Creates an empty budget of the given number of bytes. */
    public BufferBudget(long capacityBytes) {
        if (capacityBytes <= 0) {
            throw new IllegalArgumentException(
                    "The capacity of a buffer budget must be positive, but was " + capacityBytes);
        }
        this.capacityBytes = capacityBytes;
    }

    /**
     * Adds bytes that a reader has received.
     *
     * @return whether the reader may continue; if not, it must pause until {@link #release} returns
     *     it
     */
    public boolean add(R reader, long bytes) {
        heldBytes.merge(reader, bytes, Long::sum);
        sumBytes += bytes;
        if (sumBytes <= capacityBytes || isFirst(reader)) {
            return true;
        }
        paused.add(reader);
        return false;
    }

    /**
     * Releases all bytes of a reader.
     *
     * @return the paused readers that may continue now
     */
    public List<R> release(R reader) {
        Long released = heldBytes.remove(reader);
        paused.remove(reader);
        if (released == null) {
            return List.of();
        }
        sumBytes -= released;
        if (paused.isEmpty()) {
            return List.of();
        }
        if (sumBytes <= capacityBytes) {
            List<R> all = List.copyOf(paused);
            paused.clear();
            return all;
        }
        R first = heldBytes.keySet().iterator().next();
        return paused.remove(first) ? List.of(first) : List.of();
    }

    /** Sum of the bytes that all readers hold. */
    public long sumBytes() {
        return sumBytes;
    }

    private boolean isFirst(R reader) {
        Iterator<R> readers = heldBytes.keySet().iterator();
        return readers.hasNext() && readers.next().equals(reader);
    }
}
