package org.damaskmoor.core.atmostonce.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;

/**
 * Remembers refused requests in constant space per entry incarnation, for a ledger without room.
 *
 * <p>Invariant: once {@link #add} returned, {@link #isFenced} holds for that id until the given
 * time, whatever else is raised. It may hold for other ids too, which are then refused without
 * need, but never run. When too many entry incarnations are fenced, all ids are. Not thread-safe.
 */
final class EntryFences {
    private final int maximumFences;
    private final Map<Entry, Fence> fences = new HashMap<>();
    private long everyIdUntilNanoseconds = Long.MIN_VALUE;

    EntryFences(int maximumFences) {
        this.maximumFences = maximumFences;
    }

    void add(RequestId id, long untilNanoseconds) {
        Entry entry = Entry.of(id);
        if (!fences.containsKey(entry) && fences.size() >= maximumFences) {
            everyIdUntilNanoseconds = Math.max(everyIdUntilNanoseconds, untilNanoseconds);
            return;
        }
        fences.merge(entry, new Fence(id.sequence(), untilNanoseconds), Fence::highest);
    }

    boolean isFenced(RequestId id, long nowNanoseconds) {
        if (nowNanoseconds < everyIdUntilNanoseconds) {
            return true;
        }
        Fence fence = fences.get(Entry.of(id));
        return fence != null
                && id.sequence() <= fence.sequence()
                && nowNanoseconds < fence.untilNanoseconds();
    }

    void expire(long nowNanoseconds) {
        fences.values().removeIf(fence -> fence.untilNanoseconds() <= nowNanoseconds);
    }

    private record Entry(NodeId node, Incarnation incarnation) {
        static Entry of(RequestId id) {
            return new Entry(id.entryNode(), id.entryIncarnation());
        }
    }

    private record Fence(long sequence, long untilNanoseconds) {
        Fence highest(Fence other) {
            return new Fence(
                    Math.max(sequence, other.sequence),
                    Math.max(untilNanoseconds, other.untilNanoseconds));
        }
    }
}
