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
final class WaitingQueue {
    private final List<WaitingRequest> ascending = new ArrayList<>();

    int size() {
        return ascending.size();
    }

    boolean isEmpty() {
        return ascending.isEmpty();
    }

    /** How many would be handed over before the given one. */
    int ahead(WaitingRequest waiting) {
        return ascending.size() - insertionPoint(waiting);
    }

    void add(WaitingRequest waiting) {
        ascending.add(insertionPoint(waiting), waiting);
    }

    /** The one to be handed over first. */
    WaitingRequest first() {
        return ascending.get(ascending.size() - 1);
    }

    WaitingRequest removeFirst() {
        return ascending.remove(ascending.size() - 1);
    }

    /** The one to be handed over last among those that match, or null. */
    WaitingRequest last(Predicate<WaitingRequest> matching) {
        for (WaitingRequest waiting : ascending) {
            if (matching.test(waiting)) {
                return waiting;
            }
        }
        return null;
    }

    void remove(WaitingRequest waiting) {
        ascending.remove(waiting);
    }

    /** Takes out the request with the given id, or returns null. */
    WaitingRequest remove(RequestId id) {
        WaitingRequest found = last(waiting -> waiting.request().id().equals(id));
        if (found != null) {
            ascending.remove(found);
        }
        return found;
    }

    /** Takes out all that match, the first to be handed over first. */
    List<WaitingRequest> removeAll(Predicate<WaitingRequest> matching) {
        List<WaitingRequest> removed = new ArrayList<>();
        ascending.removeIf(waiting -> matching.test(waiting) && removed.add(waiting));
        Collections.reverse(removed);
        return removed;
    }

    private int insertionPoint(WaitingRequest waiting) {
        return -Collections.binarySearch(ascending, waiting) - 1;
    }
}
