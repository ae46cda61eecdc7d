package org.damaskmoor.core.atmostonce.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;

/**
 * Remembers the requests that a full ledger refused, in constant space per entry incarnation.
 *
 * <p>Invariant: after {@link #add}, {@link #isFenced} is true for that id until the given time,
 * regardless of later calls. It may also be true for other ids, which are then refused
 * unnecessarily, but never run. When too many entry incarnations are fenced, every id is. Not
 * thread-safe.
 */
final class EntryFences {
    private final int maximumFences;
    private final Map<EntryIncarnation, Fence> fences = new HashMap<>();
    private long allFencedUntilNanoseconds = Long.MIN_VALUE;

    EntryFences(int maximumFences) {
        this.maximumFences = maximumFences;
    }

    void add(RequestId id, long untilNanoseconds) {
        EntryIncarnation entry = EntryIncarnation.of(id);
        if (!fences.containsKey(entry) && fences.size() >= maximumFences) {
            allFencedUntilNanoseconds = Math.max(allFencedUntilNanoseconds, untilNanoseconds);
            return;
        }
        fences.merge(entry, new Fence(id.sequence(), untilNanoseconds), Fence::max);
    }

    boolean isFenced(RequestId id, long nowNanoseconds) {
        if (nowNanoseconds < allFencedUntilNanoseconds) {
            return true;
        }
        Fence fence = fences.get(EntryIncarnation.of(id));
        return fence != null
                && id.sequence() <= fence.sequence()
                && nowNanoseconds < fence.untilNanoseconds();
    }

    void expire(long nowNanoseconds) {
        fences.values().removeIf(fence -> fence.untilNanoseconds() <= nowNanoseconds);
    }

    private record EntryIncarnation(NodeId node, Incarnation incarnation) {
        static EntryIncarnation of(RequestId id) {
            return new EntryIncarnation(id.entryNode(), id.entryIncarnation());
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof EntryIncarnation that
                    && node.equals(that.node)
                    && incarnation.equals(that.incarnation);
        }

        @Override
        public int hashCode() {
            return 31 * node.hashCode() + incarnation.hashCode();
        }
    }

    private record Fence(long sequence, long untilNanoseconds) {
        Fence max(Fence other) {
            return new Fence(
                    Math.max(sequence, other.sequence),
                    Math.max(untilNanoseconds, other.untilNanoseconds));
        }
    }
}
