package org.damaskmoor.core.queueing;

import java.util.Collection;

/**
 * The order in which waiting calls start: the highest priority first; within a priority calls that
 * are much shorter than the mean, then calls that can still meet their objective, then the others;
 * among equals the earliest objective first.
 *
 * <p>Not thread-safe.
 */
final class CallOrder<T> {
    /** A call is short when it takes at most this fraction of the mean service time. */
    private static final double SHORT_FRACTION = 0.35;

    private static final int SHORT = 0;
    private static final int MEETS_OBJECTIVE = 1;
    private static final int MISSES_OBJECTIVE = 2;

    private final MeanServiceTime meanServiceTime;

    CallOrder(MeanServiceTime meanServiceTime) {
        this.meanServiceTime = meanServiceTime;
    }

    /** Returns the call to start next; the collection must not be empty. */
    QueuedCall<T> first(Collection<QueuedCall<T>> waiting, long now) {
        QueuedCall<T> best = null;
        for (QueuedCall<T> call : waiting) {
            if (best == null || goesBefore(call, best, now)) {
                best = call;
            }
        }
        return best;
    }

    /** Number of waiting calls other than the given one that start before it. */
    int countBefore(Collection<QueuedCall<T>> waiting, QueuedCall<T> arriving, long now) {
        int ahead = 0;
        for (QueuedCall<T> call : waiting) {
            boolean isOther = !call.handle().equals(arriving.handle());
            if (isOther && !goesBefore(arriving, call, now)) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Whether a call is much shorter than the mean. */
    boolean isShort(QueuedCall<T> call) {
        double service = call.serviceMilliseconds();
        return service > 0 && service <= SHORT_FRACTION * meanServiceTime.milliseconds();
    }

    private boolean goesBefore(QueuedCall<T> call, QueuedCall<T> other, long now) {
        if (call.priority() != other.priority()) {
            return call.priority() < other.priority();
        }
        int urgency = urgency(call, now);
        int otherUrgency = urgency(other, now);
        return urgency == otherUrgency
                ? call.objectiveAt() < other.objectiveAt()
                : urgency < otherUrgency;
    }

    private int urgency(QueuedCall<T> call, long now) {
        if (isShort(call)) {
            return SHORT;
        }
        return now + call.serviceMilliseconds() <= call.objectiveAt()
                ? MEETS_OBJECTIVE
                : MISSES_OBJECTIVE;
    }
}
