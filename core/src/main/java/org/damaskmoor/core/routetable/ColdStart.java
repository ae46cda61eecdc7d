package org.damaskmoor.core.routetable;

/**
 * What an upstream that has just started tolerates. Immutable and thread-safe.
 *
 * @param durationMilliseconds how long an upstream is cold after its start
 * @param callsPerSecond calls a second that a cold upstream tolerates; 0 for no limit
 */
public record ColdStart(long durationMilliseconds, double callsPerSecond) {
    /** Upstreams tolerate all calls from their start on. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    public ColdStart {
        boolean isFinite = Double.isFinite(callsPerSecond);
        if (durationMilliseconds < 0 || !isFinite || callsPerSecond < 0) {
            throw new IllegalArgumentException("A cold start must be finite and not negative.");
        }
    }

    /** Whether calls to cold upstreams are limited. */
    public boolean isLimited() {
        return durationMilliseconds > 0 && callsPerSecond > 0;
    }
}
