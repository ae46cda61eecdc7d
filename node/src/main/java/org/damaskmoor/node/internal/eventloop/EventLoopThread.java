package org.damaskmoor.node.internal.eventloop;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.node.internal.time.Timers;

/**
 * An event loop with a dedicated thread.
 *
 * <p>Thread-safe; tasks run on the thread of the loop. Invariant: an exception of a task is logged
 * and does not end the loop.
 */
public final class EventLoopThread {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    private final Eventloop loop;
    private final Thread thread;

    /** Starts an event loop on a new thread with the given name. */
    public EventLoopThread(String name) {
        loop =
                Eventloop.builder()
                        .withThreadName(name)
                        .withFatalErrorHandler(
                                (error, context) ->
                                        logger.atSevere().withCause(error).log(
                                                "event=task-failed duty=%s", name))
                        .build();
        loop.keepAlive(true);
        thread = new Thread(loop, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The event loop, for servers and clients that run on it. */
    public Eventloop eventLoop() {
        return loop;
    }

    /** Runs a task on the thread of the loop. */
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /** Runs a task on the thread of the loop; completes or fails as the task does. */
    public CompletableFuture<Void> submit(Runnable task) {
        return loop.submit(task::run);
    }

    /** Timers of this loop; use them only on its thread. */
    public Timers timers() {
        return (delayMilliseconds, task) -> {
            ScheduledRunnable scheduled = loop.delay(delayMilliseconds, task);
            return () -> {
                if (scheduled.isActive()) {
                    scheduled.cancel();
                }
            };
        };
    }

    /** Runs a task repeatedly, with the given pause between runs, for as long as the loop runs. */
    public void every(long pauseMilliseconds, Runnable task) {
        loop.execute(() -> repeat(pauseMilliseconds, task));
    }

    /** Stops the loop and its thread. */
    public void stop() {
        loop.execute(
                () -> {
                    loop.keepAlive(false);
                    loop.breakEventloop();
                });
        try {
            thread.join(STOP_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void repeat(long pauseMilliseconds, Runnable task) {
        loop.delayBackground(pauseMilliseconds, () -> repeat(pauseMilliseconds, task));
        task.run();
    }
}
