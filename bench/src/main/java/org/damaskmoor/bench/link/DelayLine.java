package org.damaskmoor.bench.link;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Holds a channel's steps back for the time that a link takes, and runs them in order.
 *
 * <p>Invariant: a step never runs before one that was added earlier; while the link is cut none
 * runs. Not thread safe: the channel's event loop owns it.
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

    /** Runs the action when so many bytes, sent now, have crossed the link. */
    void add(int bytes, Runnable action) {
        steps.add(new Step(link.arrival(nanoseconds.getAsLong(), bytes), action));
        schedule();
    }

    /** Runs everything that is held, at once. */
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

    @SuppressWarnings("FutureReturnValueIgnored") // The step's own promise tells its outcome.
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
