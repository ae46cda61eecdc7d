package org.damaskmoor.core.quarantine;

import java.util.Collection;
import java.util.List;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.quarantine.internal.CrashQuarantine;

/**
 * Detects requests that crash the upstreams that run them, and decides which to refuse with {@code
 * QUARANTINED}.
 *
 * <pre>{@code
 * if (quarantine.isQuarantined(fingerprint, now)) {
 *     // refuse with QUARANTINED, Retry-After quarantine.retryAfterMilliseconds(fingerprint, now)
 * }
 * }</pre>
 *
 * <p>A request is quarantined when it was in flight at crashes of two different upstreams within a
 * minute. A request that was answered within the last minute is not suspected, so that a popular
 * lookup is not quarantined when a rack fails. Invariant: memory is bounded; the oldest suspected
 * request is dropped first. Times are in nanoseconds of one monotonic clock. Not thread-safe.
 */
public interface Quarantine {
    /** Creates an empty quarantine. */
    static Quarantine create() {
        return new CrashQuarantine();
    }

    /** Called when an upstream answered the request. */
    void onAnswered(RequestFingerprint request, long nowNanoseconds);

    /**
     * Called when an upstream crashed; not for a planned stop.
     *
     * @param inFlight requests that were forwarded to it and not answered
     * @return the new records, to be sent to other nodes
     */
    List<CrashRecord> onCrash(
            NodeId node,
            Incarnation incarnation,
            Collection<RequestFingerprint> inFlight,
            long nowNanoseconds);

    /** Merges a record from another node; returns whether it was new and should be forwarded. */
    boolean merge(CrashRecord record, long nowNanoseconds);

    /** Whether the request is quarantined and must be refused. */
    boolean isQuarantined(RequestFingerprint request, long nowNanoseconds);

    /** Time until the request is released from quarantine; 0 when it is not quarantined. */
    long retryAfterMilliseconds(RequestFingerprint request, long nowNanoseconds);

    /** Returns all records that have not expired. */
    List<CrashRecord> records(long nowNanoseconds);
}
