package org.damaskmoor.core.admission.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import org.damaskmoor.core.id.RequestId;

/**
 * Requests that wait, in the order in which they are to be handed over.
 *
 * <p>A sorted array with the first at its end: a few hundred requests at most, so that moving them
 * costs less than the nodes of a tree. Not thread-safe.
 */
final class RequestQueue {
    private final List<QueuedRequest> ascending = new ArrayList<>();

    int size() {
        return ascending.size();
    }

    boolean isEmpty() {
        return ascending.isEmpty();
    }

    /** How many would be handed over before the given one. */
    int countAhead(QueuedRequest waiting) {
        return ascending.size() - insertionPoint(waiting);
    }

    void add(QueuedRequest waiting) {
        ascending.add(insertionPoint(waiting), waiting);
    }

    /** The one to be handed over first. */
    QueuedRequest first() {
        return ascending.get(ascending.size() - 1);
    }

    QueuedRequest removeFirst() {
        return ascending.remove(ascending.size() - 1);
    }

    /** The one to be handed over last among those that match, or null. */
    QueuedRequest findLast(Predicate<QueuedRequest> matching) {
        for (QueuedRequest waiting : ascending) {
            if (matching.test(waiting)) {
                return waiting;
            }
        }
        return null;
    }

    void remove(QueuedRequest waiting) {
        ascending.remove(waiting);
    }

    /** Takes out the request with the given id, or returns null. */
    QueuedRequest remove(RequestId id) {
        QueuedRequest found = findLast(waiting -> waiting.request().id().equals(id));
        if (found != null) {
            ascending.remove(found);
        }
        return found;
    }

    /** Takes out all that match, the first to be handed over first. */
    List<QueuedRequest> removeAll(Predicate<QueuedRequest> matching) {
        List<QueuedRequest> removed = new ArrayList<>();
        ascending.removeIf(waiting -> matching.test(waiting) && removed.add(waiting));
        Collections.reverse(removed);
        return removed;
    }

    private int insertionPoint(QueuedRequest waiting) {
        return -Collections.binarySearch(ascending, waiting) - 1;
    }
}
