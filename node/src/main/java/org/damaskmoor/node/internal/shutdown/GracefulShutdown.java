package org.damaskmoor.node.internal.shutdown;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stops a node without cutting off requests in flight: refuses new calls, finishes open requests,
 * flushes the accounting, leaves the cluster, closes the ports.
 *
 * <p>Thread-safe. Invariant: each step begins after the previous one has ended or timed out.
 */
public final class GracefulShutdown {
    /** Time for other nodes to learn that this one leaves, before ports close. */
    private static final long PROPAGATION_MILLISECONDS = 1_000;

    private static final long IDLE_CHECK_MILLISECONDS = 20;

    private final ShutdownSteps steps;
    private final long drainMilliseconds;
    private final LongSupplier milliseconds;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param steps the steps
     * @param drainMilliseconds longest time for requests in flight
     * @param milliseconds a monotonic clock
     */
    public GracefulShutdown(
            ShutdownSteps steps, long drainMilliseconds, LongSupplier milliseconds) {
        this.steps = steps;
        this.drainMilliseconds = drainMilliseconds;
        this.milliseconds = milliseconds;
    }

    /** Runs all steps; completes when the ports are closed. */
    public CompletableFuture<Void> run() {
        long deadline = milliseconds.getAsLong() + drainMilliseconds;
        steps.drainTarget().run();
        return delay(PROPAGATION_MILLISECONDS)
                .thenCompose(noticed -> steps.closeEntry().get())
                .thenCompose(closed -> whenTargetIdle(deadline))
                .thenCompose(idle -> flush(deadline))
                .thenCompose(flushed -> steps.leave().get())
                .thenCompose(left -> delay(PROPAGATION_MILLISECONDS))
                .thenCompose(noticed -> steps.closePorts().get());
    }

    private CompletableFuture<Void> flush(long deadline) {
        return steps.flushAccounts().apply(Math.max(0, deadline - milliseconds.getAsLong()));
    }

    private CompletableFuture<Void> whenTargetIdle(long deadline) {
        return steps.targetIdle()
                .get()
                .thenCompose(
                        idle ->
                                idle || milliseconds.getAsLong() >= deadline
                                        ? CompletableFuture.completedFuture(null)
                                        : delay(IDLE_CHECK_MILLISECONDS)
                                                .thenCompose(waited -> whenTargetIdle(deadline)));
    }

    private static CompletableFuture<Void> delay(long delayMilliseconds) {
        Executor delayed =
                CompletableFuture.delayedExecutor(delayMilliseconds, TimeUnit.MILLISECONDS);
        return CompletableFuture.runAsync(() -> {}, delayed);
    }
}
