package org.damaskmoor.relay.internal;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Runs a planned stop: callers get time to go elsewhere, then new requests are refused, and the
 * stop ends when no request is open or its time is over.
 *
 * <p>Confined to the event loop.
 */
final class GracefulStop {
    /** Time to write the last replies before connections are closed. */
    private static final long FLUSH_MILLISECONDS = 50;

    /** Time for the platform to notice that the node is not ready, and for callers to leave. */
    private static final long LEAVE_MILLISECONDS = 2600;

    /** Part of the stop timeout that is reserved for closing connections. */
    private static final long MARGIN_MILLISECONDS = 900;

    private static final long CHECK_INTERVAL_MILLISECONDS = 50;

    private final Timers timers;
    private final long stopMilliseconds;
    private boolean running;

    GracefulStop(Timers timers, long stopMilliseconds) {
        this.timers = timers;
        this.stopMilliseconds = stopMilliseconds;
    }

    boolean isRunning() {
        return running;
    }

    CompletableFuture<Void> run(Runnable rejectNewRequests, BooleanSupplier idle) {
        running = true;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        long rejectAt = timers.now() + Math.min(LEAVE_MILLISECONDS, stopMilliseconds / 2);
        long endAt = timers.now() + stopMilliseconds - MARGIN_MILLISECONDS;
        check(rejectNewRequests, idle, rejectAt, endAt, ended);
        return ended;
    }

    private void check(
            Runnable rejectNewRequests,
            BooleanSupplier idle,
            long rejectAt,
            long endAt,
            CompletableFuture<Void> ended) {
        long now = timers.now();
        if (now >= rejectAt) {
            rejectNewRequests.run();
        }
        if ((now >= rejectAt && idle.getAsBoolean()) || now >= endAt) {
            ended.complete(null);
            return;
        }
        timers.schedule(
                CHECK_INTERVAL_MILLISECONDS,
                () -> check(rejectNewRequests, idle, rejectAt, endAt, ended));
    }

    /** Completes when the last replies have had time to be written. */
    CompletableFuture<Void> flushReplies() {
        CompletableFuture<Void> written = new CompletableFuture<>();
        timers.schedule(FLUSH_MILLISECONDS, () -> written.complete(null));
        return written;
    }
}
