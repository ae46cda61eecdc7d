package org.damaskmoor.relay.internal.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.quarantine.RequestFingerprint;

/**
 * Requests that got no whole answer a moment ago: when the upstream turns out to have crashed, one
 * of them may have done it. Times are in milliseconds. Confined to the event loop.
 *
 * <p>Invariant: holds at most {@link #MOST_FAILURES}.
 */
final class RecentFailures {
    /** Connections of a crashed upstream end within this time. */
    private static final long MEMORY_MILLISECONDS = 1000;

    private static final int MOST_FAILURES = 64;

    private final ArrayDeque<Failure> failures = new ArrayDeque<>();

    private record Failure(RequestFingerprint request, long at) {}

    void add(RequestFingerprint request, long now) {
        failures.addLast(new Failure(request, now));
        if (failures.size() > MOST_FAILURES) {
            failures.removeFirst();
        }
    }

    /** The requests of the last moment, in a list of the caller's own. */
    List<RequestFingerprint> recent(long now) {
        List<RequestFingerprint> recent = new ArrayList<>();
        for (Failure failure : failures) {
            if (now - failure.at <= MEMORY_MILLISECONDS) {
                recent.add(failure.request);
            }
        }
        return recent;
    }
}
