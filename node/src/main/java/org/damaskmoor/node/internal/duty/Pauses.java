package org.damaskmoor.node.internal.duty;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Waits that hold no thread. Stateless and thread-safe. */
public final class Pauses {
    private static final long CHECK_MILLISECONDS = 20;

    private Pauses() {}

    /** Completes after the given time. */
    public static CompletableFuture<Void> after(long milliseconds) {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS));
    }

    /**
     * Completes when the condition holds, or at the deadline.
     *
     * @param condition asked again and again
     * @param deadlineNanoseconds on the monotonic clock
     */
    public static CompletableFuture<Void> until(
            Supplier<CompletableFuture<Boolean>> condition, long deadlineNanoseconds) {
        return condition
                .get()
                .thenCompose(
                        holds ->
                                holds || System.nanoTime() - deadlineNanoseconds >= 0
                                        ? CompletableFuture.completedFuture(null)
                                        : after(CHECK_MILLISECONDS)
                                                .thenCompose(
                                                        waited ->
                                                                until(
                                                                        condition,
                                                                        deadlineNanoseconds)));
    }
}
