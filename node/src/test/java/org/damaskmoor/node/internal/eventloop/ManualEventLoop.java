package org.damaskmoor.node.internal.eventloop;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.node.internal.time.Timers;

/**
 * An event loop with a manual clock: tasks and timers run only when the test calls {@link #run} or
 * {@link #advance}.
 */
public final class ManualEventLoop implements Executor {
    private record Timer(long dueNanoseconds, Runnable task) {}

    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanoseconds));
    private long nowNanoseconds;

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    public long nanoseconds() {
        return nowNanoseconds;
    }

    public Timers timers() {
        return (delay, task) -> {
            Timer timer = new Timer(nowNanoseconds + TimeUnit.MILLISECONDS.toNanos(delay), task);
            timers.add(timer);
            return () -> timers.remove(timer);
        };
    }

    /** Runs all tasks, including those that they add. */
    public void run() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    /** Advances the clock and runs the timers and tasks that are due, in order. */
    public void advance(long milliseconds) {
        long end = nowNanoseconds + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        run();
        while (!timers.isEmpty() && timers.peek().dueNanoseconds() <= end) {
            Timer next = timers.remove();
            nowNanoseconds = next.dueNanoseconds();
            next.task().run();
            run();
        }
        nowNanoseconds = end;
    }
}
