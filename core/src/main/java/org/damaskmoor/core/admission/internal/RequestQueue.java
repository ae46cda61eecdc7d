package org.damaskmoor.core.admission.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import org.damaskmoor.core.id.RequestId;

/**
 * Waiting requests in the order in which they will be forwarded.
 *
 * <p>A sorted array list with the first request at its end. With at most a few hundred requests,
 * shifting elements is cheaper than allocating tree nodes. Not thread-safe.
 */
final class RequestQueue {
    private final List<QueuedRequest> ascending = new ArrayList<>();

    int size() {
        return ascending.size();
    }

    boolean isEmpty() {
        return ascending.isEmpty();
    }

    /** Returns how many requests would be forwarded before the given one. */
    int countAhead(QueuedRequest waiting) {
        return ascending.size() - insertionPoint(waiting);
    }

    void add(QueuedRequest waiting) {
        ascending.add(insertionPoint(waiting), waiting);
    }

    /** Returns the request that will be forwarded first. */
    QueuedRequest first() {
        return ascending.get(ascending.size() - 1);
    }

    QueuedRequest removeFirst() {
        return ascending.remove(ascending.size() - 1);
    }

    /** Returns the matching request that would be forwarded last, or null. */
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

    /** Removes and returns the request with the given id, or returns null when it is absent. */
    QueuedRequest remove(RequestId id) {
        QueuedRequest found = findLast(waiting -> waiting.request().id().equals(id));
        if (found != null) {
            ascending.remove(found);
        }
        return found;
    }

    /** Removes and returns all matching requests, in forwarding order. */
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
