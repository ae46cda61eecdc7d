package org.damaskmoor.bench.link;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Delays the operations of a channel by the transfer time of a link and runs them in order.
 *
 * <p>Invariant: an operation never runs before one that was added earlier, and none runs while the
 * link is cut. Not thread safe: confined to the channel's event loop.
 */
final class DelayLine {
    private static final long CUT_POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

    private record Step(long dueNanoseconds, Runnable action) {}

    private final Link link;
    private final EventExecutor executor;
    private final LongSupplier nanoseconds;
    private final Queue<Step> steps = new ArrayDeque<>();
    private boolean scheduled;

    DelayLine(Link link, EventExecutor executor, LongSupplier nanoseconds) {
        this.link = link;
        this.executor = executor;
        this.nanoseconds = nanoseconds;
    }

    /** Runs the action once the given number of bytes, sent now, would have crossed the link. */
    void add(int bytes, Runnable action) {
        steps.add(new Step(link.arrival(nanoseconds.getAsLong(), bytes), action));
        schedule();
    }

    /** Runs all pending actions immediately. */
    void drain() {
        while (!steps.isEmpty()) {
            steps.remove().action().run();
        }
    }

    boolean isEmpty() {
        return steps.isEmpty();
    }

    private void schedule() {
        if (scheduled || steps.isEmpty()) {
            return;
        }
        scheduled = true;
        long wait = steps.element().dueNanoseconds() - nanoseconds.getAsLong();
        schedule(link.profile().cut() ? CUT_POLL_NANOSECONDS : Math.max(0, wait));
    }

    @SuppressWarnings(
            "FutureReturnValueIgnored") // The operation's own promise reports its outcome.
    private void schedule(long wait) {
        executor.schedule(this::runDue, wait, TimeUnit.NANOSECONDS);
    }

    private void runDue() {
        scheduled = false;
        while (!link.profile().cut() && isDue()) {
            steps.remove().action().run();
        }
        schedule();
    }

    private boolean isDue() {
        return !steps.isEmpty() && steps.element().dueNanoseconds() <= nanoseconds.getAsLong();
    }
}
