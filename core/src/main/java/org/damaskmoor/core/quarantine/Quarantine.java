package org.damaskmoor.core.quarantine;

import java.util.Collection;
import java.util.List;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.quarantine.internal.CrashQuarantine;

/**
 * Finds the requests that crash each upstream that runs them, and says which to refuse with {@code
 * QUARANTINED}.
 *
 * <pre>{@code
 * if (quarantine.holds(fingerprint, now)) {
 *     // refuse with QUARANTINED, Retry-After quarantine.retryAfterMilliseconds(fingerprint, now)
 * }
 * }</pre>
 *
 * <p>A request is held when it was in flight at crashes of two different upstreams within a minute.
 * A request that was answered within the last minute crashes nothing and is not suspected, so that
 * a popular lookup survives the loss of a rack. Invariant: memory is bounded; the oldest suspicion
 * goes first. Times are in nanoseconds of one monotonic clock. Not thread-safe.
 */
public interface Quarantine {
    /** An empty quarantine. */
    static Quarantine create() {
        return new CrashQuarantine();
    }

    /** An upstream answered the request. */
    void onAnswered(RequestFingerprint request, long nowNanoseconds);

    /**
     * An upstream crashed. Not to be called for a planned stop.
     *
     * @param inFlight requests handed to it and not answered
     * @return records to tell other nodes
     */
    List<CrashRecord> onCrash(
            NodeId node,
            Incarnation incarnation,
            Collection<RequestFingerprint> inFlight,
            long nowNanoseconds);

    /** Another node told of a crash. True: it was news and should be told on. */
    boolean merge(CrashRecord record, long nowNanoseconds);

    /** Whether the request must be refused. */
    boolean isQuarantined(RequestFingerprint request, long nowNanoseconds);

    /** Time until the request is let through again; 0 when it is not held. */
    long retryAfterMilliseconds(RequestFingerprint request, long nowNanoseconds);

    /** All records that still count. */
    List<CrashRecord> records(long nowNanoseconds);
}
