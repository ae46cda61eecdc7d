package org.damaskmoor.core.queueing;

import java.util.Collection;

/**
 * Estimates how long calls wait for a slot and for the pacer, and which can't be served in time.
 * Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
final class WaitEstimate<T> {
    /**
     * A waiting call expires when no more than this fraction of its mean service time is left until
     * its deadline.
     */
    private static final double MIN_TIME_FRACTION = 0.8;

    private final StartPacer pacer;
    private final FairOrder<T> order;
    private final MeanServiceTime meanServiceTime;

    WaitEstimate(StartPacer pacer, FairOrder<T> order, MeanServiceTime meanServiceTime) {
        this.pacer = pacer;
        this.order = order;
        this.meanServiceTime = meanServiceTime;
    }

    /**
     * Expected time until a call starts: until a slot is free and the pacer allows it.
     *
     * @param freeSlots slots without a running call; negative when more run than the limit
     */
    double untilStart(
            QueuedCall<T> call,
            Collection<QueuedCall<T>> waiting,
            int freeSlots,
            int limit,
            long now) {
        int waitingAhead = order.countBefore(waiting, call, now);
        int slotsAhead = Math.max(0, 1 - freeSlots + waitingAhead);
        double slotWait = slotsAhead * meanServiceTime.milliseconds() / limit;
        return Math.max(slotWait, pacer.waitMilliseconds(waitingAhead, now));
    }

    /** Mean time between two starts while calls wait. */
    double startInterval(int limit, long now) {
        double slotInterval = meanServiceTime.milliseconds() / limit;
        return Math.max(slotInterval, pacer.intervalMilliseconds(now));
    }

    /** Expected time until the queue accepts one more call. */
    double untilAccepted(int waiting, int limit, long now) {
        double slotWait = (waiting + 1) * meanServiceTime.milliseconds() / limit;
        return Math.max(slotWait, pacer.waitMilliseconds(waiting, now));
    }

    /**
     * Whether a waiting call can't be answered before its deadline: even if it starts now, or, once
     * it has missed its objective, when the calls before it have started.
     */
    boolean isTooLate(
            QueuedCall<T> call,
            Collection<QueuedCall<T>> waiting,
            int freeSlots,
            int limit,
            long now) {
        double end = now + MIN_TIME_FRACTION * call.serviceMilliseconds();
        boolean missesObjective = now + call.serviceMilliseconds() > call.objectiveAt();
        double wait = 0;
        if (missesObjective) {
            wait =
                    freeSlots <= 0
                            ? untilStart(call, waiting, freeSlots, limit, now)
                            : pacer.waitMilliseconds(order.countBefore(waiting, call, now), now);
        }
        return end + wait >= call.deadlineAt();
    }
}
