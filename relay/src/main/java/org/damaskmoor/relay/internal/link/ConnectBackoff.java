package org.damaskmoor.relay.internal.link;

/**
 * The time between attempts to connect; it doubles with each failure up to a maximum. Times are in
 * milliseconds of one monotonic clock. Confined to the event loop.
 */
final class ConnectBackoff {
    private static final long MIN_MILLISECONDS = 100;
    private static final long MAX_MILLISECONDS = 4000;

    private boolean failing;
    private long milliseconds = MIN_MILLISECONDS;
    private long retryAt = Long.MIN_VALUE;

    /** A connection was lost or could not be opened. */
    void onFailed(long now) {
        failing = true;
        retryAt = now + milliseconds;
        milliseconds = Math.min(2 * milliseconds, MAX_MILLISECONDS);
    }

    /** A connection works, or there is a reason to try again at once. */
    void reset() {
        failing = false;
        milliseconds = MIN_MILLISECONDS;
        retryAt = Long.MIN_VALUE;
    }

    /** Whether the last connection was lost or could not be opened. */
    boolean isFailing() {
        return failing;
    }

    /** Whether a connection may be opened now. */
    boolean mayConnect(long now) {
        return now >= retryAt;
    }

    /** Time until a connection may be opened; 0 if it may be now. */
    long remainingMilliseconds(long now) {
        return mayConnect(now) ? 0 : retryAt - now;
    }
}
