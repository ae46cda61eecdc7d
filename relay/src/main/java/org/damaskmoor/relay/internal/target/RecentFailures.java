package org.damaskmoor.relay.internal.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.quarantine.RequestFingerprint;

/**
 * Requests that recently got no complete answer. If the upstream turns out to have crashed, one of
 * them may have caused it. Times are in milliseconds. Confined to the event loop.
 *
 * <p>Invariant: holds at most {@link #MAX_FAILURES}.
 */
final class RecentFailures {
    /** All connections of a crashed upstream close within this time. */
    private static final long RETENTION_MILLISECONDS = 1000;

    private static final int MAX_FAILURES = 64;

    private final ArrayDeque<Failure> failures = new ArrayDeque<>();

    private record Failure(RequestFingerprint request, long at) {}

    void add(RequestFingerprint request, long now) {
        failures.addLast(new Failure(request, now));
        if (failures.size() > MAX_FAILURES) {
            failures.removeFirst();
        }
    }

    /** The requests that failed recently, in a new mutable list. */
    List<RequestFingerprint> recent(long now) {
        List<RequestFingerprint> recent = new ArrayList<>();
        for (Failure failure : failures) {
            if (now - failure.at <= RETENTION_MILLISECONDS) {
                recent.add(failure.request);
            }
        }
        return recent;
    }
}
