package org.damaskmoor.relay.internal;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * The course of a planned stop: callers are given time to go elsewhere, then new requests are
 * refused, and the node ends when nothing is open any more or its time is over.
 *
 * <p>Confined to the event loop.
 */
final class GracefulStop {
    /** Time in which the platform notices that the node is not ready, and callers leave. */
    private static final long LEAVE_MILLISECONDS = 2600;

    /** Left of the stop timeout for closing. */
    private static final long MARGIN_MILLISECONDS = 900;

    private static final long LOOK_MILLISECONDS = 50;

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

    CompletableFuture<Void> run(Runnable refuseNew, BooleanSupplier idle) {
        running = true;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        long leaveAt = timers.now() + Math.min(LEAVE_MILLISECONDS, stopMilliseconds / 2);
        long endAt = timers.now() + stopMilliseconds - MARGIN_MILLISECONDS;
        look(refuseNew, idle, leaveAt, endAt, ended);
        return ended;
    }

    private void look(
            Runnable refuseNew,
            BooleanSupplier idle,
            long leaveAt,
            long endAt,
            CompletableFuture<Void> ended) {
        long now = timers.now();
        if (now >= leaveAt) {
            refuseNew.run();
        }
        if ((now >= leaveAt && idle.getAsBoolean()) || now >= endAt) {
            ended.complete(null);
            return;
        }
        timers.schedule(LOOK_MILLISECONDS, () -> look(refuseNew, idle, leaveAt, endAt, ended));
    }
}
