package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;

/** Exponential backoff for a target to which no connection could be opened. Not thread-safe. */
final class ConnectBackoff {
    private static final long INITIAL_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_BACKOFF_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private long backoffNanoseconds;
    private long startedAtNanoseconds;

    boolean isReachable(long now) {
        return backoffNanoseconds == 0 || now - startedAtNanoseconds >= backoffNanoseconds;
    }

    void onConnectFailed(long now) {
        if (!isReachable(now)) {
            return;
        }
        backoffNanoseconds =
                backoffNanoseconds == 0
                        ? INITIAL_BACKOFF_NANOSECONDS
                        : Math.min(MAX_BACKOFF_NANOSECONDS, 2 * backoffNanoseconds);
        startedAtNanoseconds = now;
    }

    void reset() {
        backoffNanoseconds = 0;
    }
}
