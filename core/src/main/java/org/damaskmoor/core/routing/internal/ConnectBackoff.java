package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/**
 * Keeps attempts away from a target to which no connection could be opened, for a time that doubles
 * with each further try in vain. Not thread-safe.
 */
final class ConnectBackoff {
    private static final long FIRST_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LONGEST_PAUSE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private long pauseNanoseconds;
    private long pausedAtNanoseconds;

    boolean isReachable(long now) {
        return pauseNanoseconds == 0 || now - pausedAtNanoseconds >= pauseNanoseconds;
    }

    void onConnectFailed(long now) {
        if (!isReachable(now)) {
            return;
        }
        pauseNanoseconds =
                pauseNanoseconds == 0
                        ? FIRST_PAUSE_NANOSECONDS
                        : Math.min(LONGEST_PAUSE_NANOSECONDS, 2 * pauseNanoseconds);
        pausedAtNanoseconds = now;
    }

    void reset() {
        pauseNanoseconds = 0;
    }
}
