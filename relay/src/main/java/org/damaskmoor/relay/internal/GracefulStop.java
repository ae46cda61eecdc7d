package org.damaskmoor.relay.internal;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Runs a planned stop: callers get time to go elsewhere, then new requests are refused until no
 * request is open, and the stop ends when all replies have been taken.
 *
 * <p>Confined to the event loop. Invariant: each phase ends before the stop timeout.
 */
final class GracefulStop {
    /** Least time between the last replies and the closing of their connections. */
    private static final long FLUSH_MILLISECONDS = 50;

    /** Time for the platform to notice that the node is not ready, and for callers to leave. */
    private static final long LEAVE_MILLISECONDS = 2600;

    /** Part of the stop timeout that is reserved for the replies to requests that are open then. */
    private static final long REPLY_MILLISECONDS = 900;

    /** Part of the stop timeout that is reserved for closing connections. */
    private static final long CLOSE_MILLISECONDS = 300;

    private static final long CHECK_INTERVAL_MILLISECONDS = 50;

    private final Timers timers;
    private final long stopMilliseconds;
    private boolean running;
    private long startedAt;

    GracefulStop(Timers timers, long stopMilliseconds) {
        this.timers = timers;
        this.stopMilliseconds = stopMilliseconds;
    }

    boolean isRunning() {
        return running;
    }

    CompletableFuture<Void> run(Runnable rejectNewRequests, BooleanSupplier idle) {
        running = true;
        startedAt = timers.now();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        long rejectAt = startedAt + Math.min(LEAVE_MILLISECONDS, stopMilliseconds / 2);
        long endAt = startedAt + stopMilliseconds - REPLY_MILLISECONDS;
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

    /** Completes when all replies have been taken, or shortly before the end of the timeout. */
    CompletableFuture<Void> flushReplies(BooleanSupplier flushed) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        long endAt = startedAt + stopMilliseconds - CLOSE_MILLISECONDS;
        timers.schedule(FLUSH_MILLISECONDS, () -> checkFlushed(flushed, endAt, ended));
        return ended;
    }

    private void checkFlushed(BooleanSupplier flushed, long endAt, CompletableFuture<Void> ended) {
        if (flushed.getAsBoolean() || timers.now() >= endAt) {
            ended.complete(null);
            return;
        }
        timers.schedule(CHECK_INTERVAL_MILLISECONDS, () -> checkFlushed(flushed, endAt, ended));
    }
}
