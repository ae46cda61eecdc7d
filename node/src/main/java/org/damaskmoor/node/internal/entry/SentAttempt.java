package org.damaskmoor.node.internal.entry;

import java.util.function.LongSupplier;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.Choice;
import org.damaskmoor.node.internal.time.Timers;
import org.damaskmoor.schema.mesh.CallRefused;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * One attempt that was sent: its target, its timer, and whether its outcome was reported to the
 * router.
 *
 * <p>Confined to the caller event loop. Invariant: the router gets one outcome per attempt.
 */
final class SentAttempt {
    private static final int FIRST_SERVER_ERROR = 500;

    private final int number;
    private final Choice choice;
    private final LongSupplier clock;
    private final long sentNanoseconds;
    private Timers.Cancellation timer = () -> {};
    private boolean ended;

    SentAttempt(int number, Choice choice, LongSupplier clock) {
        this.number = number;
        this.choice = choice;
        this.clock = clock;
        this.sentNanoseconds = clock.getAsLong();
    }

    int number() {
        return number;
    }

    TargetId targetId() {
        return choice.target().id();
    }

    long sentNanoseconds() {
        return sentNanoseconds;
    }

    boolean isEnded() {
        return ended;
    }

    void startTimer(Timers timers, long delayMilliseconds, Runnable task) {
        timer.cancel();
        timer = timers.schedule(delayMilliseconds, task);
    }

    void stopTimer() {
        timer.cancel();
    }

    void endAnswered(ServiceRuntime runtime, LoadReport load, int status) {
        if (markEnded()) {
            recordLatency(runtime);
            if (status >= FIRST_SERVER_ERROR) {
                runtime.router().onLoadReport(targetId(), load, clock.getAsLong());
                runtime.router().onFailed(targetId(), elapsed(), clock.getAsLong());
            } else {
                runtime.router().onAnswered(targetId(), elapsed(), load, clock.getAsLong());
            }
        }
    }

    void endRefused(ServiceRuntime runtime, CallRefused refused) {
        if (markEnded()) {
            runtime.router()
                    .onRefused(
                            targetId(),
                            elapsed(),
                            refused.getReason(),
                            refused.getLoad(),
                            clock.getAsLong());
        }
    }

    void endFailed(ServiceRuntime runtime) {
        if (markEnded()) {
            runtime.router().onFailed(targetId(), elapsed(), clock.getAsLong());
        }
    }

    void abandon(ServiceRuntime runtime) {
        if (markEnded()) {
            runtime.router().onAbandoned(targetId(), elapsed(), clock.getAsLong());
        }
    }

    private void recordLatency(ServiceRuntime runtime) {
        if (number == 1) {
            runtime.hedgePolicy().onAnswered(elapsed(), clock.getAsLong());
        }
    }

    private boolean markEnded() {
        stopTimer();
        boolean firstEnd = !ended;
        ended = true;
        return firstEnd;
    }

    private long elapsed() {
        return clock.getAsLong() - sentNanoseconds;
    }
}
