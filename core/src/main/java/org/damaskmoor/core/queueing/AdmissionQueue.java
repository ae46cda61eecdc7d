package org.damaskmoor.core.queueing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Bounded priority queue of calls in front of one upstream with a concurrency limit; absorbs bursts
 * that exceed the limit for less time than callers can wait.
 *
 * <pre>{@code
 * QueueDecision decision = queue.offer(call, delay, mayStart, now);
 * // start it, keep it or send it back; whenever a call has ended:
 * queue.onAnswered(milliseconds);
 * queue.removeExpired(now).forEach(this::sendBack);
 * for (T call = queue.poll(now); call != null; call = queue.poll(now)) { start(call); }
 * }</pre>
 *
 * <p>A call is queued only if it is expected to start in time for its latency objective; otherwise
 * it is sent back at once, so that its entry node can try another target or its caller can retry
 * later. The highest priority goes first. Within a priority, calls that are much shorter than the
 * mean go first: they delay the others little, and often a longer call elsewhere waits for them.
 * Next come the calls that can still meet their objective, the earliest objective first. When the
 * queue is full, a call displaces one of lower priority.
 *
 * <p>Calls of which many less urgent ones compete for the slots wait longer as their last choice:
 * typically an upstream sent them while it runs a request of its own, and their refusal loses the
 * work that was done for that request. A queued call that can no longer be answered in time,
 * because the upstream became slower, is sent back before its deadline.
 *
 * <p>Where capacity is shared among tenants, they are served in turn within a priority, the tenant
 * with the most waiting calls gives way when the queue is full, kinds of calls that are served too
 * rarely go first, and refused callers get successive times to return. Otherwise tenants are
 * ignored.
 *
 * <p>Invariants: no more calls run than the limit, except after the limit was lowered; each call
 * leaves the queue exactly once; no call starts before the pacer allows it. Times are in
 * milliseconds of one monotonic clock. Not thread-safe.
 */
public final class AdmissionQueue<T> {
    /**
     * A call that will miss its objective may wait for this fraction of the time left until its
     * deadline.
     */
    private static final double LATE_WAIT_FRACTION = 0.15;

    /** The same for a call that goes before a considerable part of the other calls. */
    private static final double URGENT_LATE_WAIT_FRACTION = 0.5;

    /** Share of less urgent calls from which a call counts as urgent. */
    private static final double MIN_LESS_URGENT_SHARE = 0.2;

    /** Upper bound on the share of the slots that higher priorities are expected to take. */
    private static final double MAX_HIGHER_PRIORITY_SHARE = 0.8;

    private static final long MIN_RETRY_AFTER_MILLISECONDS = 50;
    private static final long MAX_RETRY_AFTER_MILLISECONDS = 3000;

    private final StartPacer pacer;
    private final MeanServiceTime meanServiceTime = new MeanServiceTime();
    private final PriorityShares priorityShares = new PriorityShares();
    private final CallOrder<T> callOrder = new CallOrder<>(meanServiceTime);
    private final FairOrder<T> order;
    private final QueueRoom<T> room = new QueueRoom<>();
    private final WaitEstimate<T> waitEstimate;
    private final ReturnSchedule returnSchedule = new ReturnSchedule();
    private final List<QueuedCall<T>> waiting = new ArrayList<>();
    private final List<T> displaced = new ArrayList<>();
    private int limit = 1;
    private int running;

    /** Creates a queue in front of an upstream that accepts calls as fast as it answers them. */
    public AdmissionQueue() {
        this(new CallPacer());
    }

    /** Creates a queue whose calls start no faster than the pacer allows. */
    public AdmissionQueue(StartPacer pacer) {
        this(pacer, () -> false);
    }

    /**
     * Creates a queue whose calls start no faster than the pacer allows.
     *
     * @param capacityIsShared whether tenants and kinds of calls share the upstream at present;
     *     otherwise tenants are ignored
     */
    public AdmissionQueue(StartPacer pacer, BooleanSupplier capacityIsShared) {
        this.pacer = pacer;
        this.order = new FairOrder<>(callOrder, meanServiceTime, capacityIsShared);
        this.waitEstimate = new WaitEstimate<>(pacer, order, meanServiceTime);
    }

    /** Sets the concurrency limit. */
    public void setLimit(int calls) {
        limit = Math.max(1, calls);
    }

    /** The concurrency limit. */
    public int limit() {
        return limit;
    }

    /** Number of running calls. */
    public int running() {
        return running;
    }

    /** Number of waiting calls. */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Decides whether a call starts, waits or is sent back.
     *
     * @param delayMilliseconds expected extra service time at this upstream, in addition to the
     *     time in the queue
     * @param mayStart whether calls may be started now
     */
    public QueueDecision offer(
            QueuedCall<T> call, double delayMilliseconds, boolean mayStart, long now) {
        double wait = expectedWait(call, now);
        if (!call.lastChoice() && wait + delayMilliseconds > call.spareMilliseconds()) {
            return QueueDecision.sendBack(retryAfter(wait));
        }
        if (running < limit && waiting.isEmpty() && mayStart && pacer.tryStart(now)) {
            onStarted(call, now);
            return QueueDecision.START;
        }
        double service = call.serviceMilliseconds() + delayMilliseconds;
        double higherPriority =
                Math.min(MAX_HIGHER_PRIORITY_SHARE, priorityShares.moreUrgentThan(call.priority()));
        wait = wait / (1 - higherPriority);
        boolean meetsObjective = now + wait + service <= call.objectiveAt();
        boolean mayWait =
                meetsObjective || (call.lastChoice() && mayWaitLate(call, wait, service, now));
        if (!mayWait || !tryMakeSpace(call)) {
            return refuse(call, wait, now);
        }
        waiting.add(call);
        return QueueDecision.WAIT;
    }

    private QueueDecision refuse(QueuedCall<T> call, double wait, long now) {
        if (!order.isFair() || !call.lastChoice()) {
            return QueueDecision.sendBack(retryAfter(wait));
        }
        order.onRefused(call);
        return QueueDecision.sendBack(promiseReturn(wait, call.deadlineAt(), now));
    }

    private void onStarted(QueuedCall<T> call, long now) {
        running++;
        priorityShares.onStarted(call.priority());
        order.onStarted(call, waiting, now);
    }

    /** Whether a call may wait for its last choice although it will miss its objective. */
    private boolean mayWaitLate(QueuedCall<T> call, double wait, double service, long now) {
        boolean urgent = priorityShares.lessUrgentThan(call.priority()) >= MIN_LESS_URGENT_SHARE;
        boolean goesSoon =
                urgent || !room.isUnderPressure(waiting.size(), limit) || callOrder.isShort(call);
        double fraction = urgent ? URGENT_LATE_WAIT_FRACTION : LATE_WAIT_FRACTION;
        return goesSoon
                && wait <= fraction * (call.deadlineAt() - now)
                && now + wait + service <= call.deadlineAt();
    }

    /** Removes and returns the next call to start, or null when none may start now. */
    public T poll(long now) {
        if (running >= limit || waiting.isEmpty() || !pacer.tryStart(now)) {
            return null;
        }
        QueuedCall<T> best = order.first(waiting, now);
        waiting.remove(best);
        onStarted(best, now);
        return best.handle();
    }

    /** Removes and returns the calls that can no longer be answered before their deadline. */
    public List<T> removeExpired(long now) {
        List<T> expired = List.of();
        Iterator<QueuedCall<T>> calls = waiting.iterator();
        while (calls.hasNext()) {
            QueuedCall<T> call = calls.next();
            if (waitEstimate.isTooLate(call, waiting, limit - running, limit, now)) {
                calls.remove();
                expired = expired.isEmpty() ? new ArrayList<>() : expired;
                expired.add(call.handle());
                order.onRefused(call);
            }
        }
        return expired;
    }

    /** Returns the calls displaced by calls of higher priority since the last invocation. */
    public List<T> drainDisplaced() {
        if (displaced.isEmpty()) {
            return List.of();
        }
        List<T> taken = List.copyOf(displaced);
        displaced.clear();
        return taken;
    }

    /** Removes and returns all waiting calls. */
    public List<T> drainAll() {
        List<T> all = new ArrayList<>();
        waiting.forEach(call -> all.add(call.handle()));
        waiting.clear();
        return all;
    }

    /** Removes a waiting call; returns false when it is not in the queue. */
    public boolean remove(T handle) {
        return waiting.removeIf(call -> call.handle().equals(handle));
    }

    /** Called when a running call was answered. */
    public void onAnswered(double milliseconds) {
        onAbandoned();
        meanServiceTime.onAnswered(milliseconds);
    }

    /** Called when a running call has ended without a representative service time. */
    public void onAbandoned() {
        running--;
    }

    /** Expected time until the queue accepts one more call, in milliseconds. */
    public long retryAfterMilliseconds(long now) {
        return retryAfter(waitEstimate.untilAccepted(waiting.size(), limit, now));
    }

    /**
     * Time after which the caller of a refused call is to return. Where capacity is shared, calls
     * that are refused at the same time get different ones.
     */
    public long retryAfterMilliseconds(long deadlineAt, long now) {
        return order.isFair()
                ? promiseReturn(
                        waitEstimate.untilAccepted(waiting.size(), limit, now), deadlineAt, now)
                : retryAfterMilliseconds(now);
    }

    private long promiseReturn(double wait, long deadlineAt, long now) {
        double interval = waitEstimate.startInterval(limit, now);
        return returnSchedule.promise(wait, interval, (double) (deadlineAt - now), now);
    }

    private double expectedWait(QueuedCall<T> call, long now) {
        return waitEstimate.untilStart(call, waiting, limit - running, limit, now);
    }

    private boolean tryMakeSpace(QueuedCall<T> arriving) {
        if (!room.isFull(waiting.size(), limit)) {
            return true;
        }
        QueuedCall<T> lowest =
                order.isFair()
                        ? room.callToDisplaceFairly(waiting, arriving)
                        : room.callToDisplace(waiting, arriving);
        if (lowest == null) {
            return false;
        }
        waiting.remove(lowest);
        displaced.add(lowest.handle());
        order.onRefused(lowest);
        return true;
    }

    private static long retryAfter(double milliseconds) {
        long rounded = Math.round(milliseconds);
        return Math.max(
                MIN_RETRY_AFTER_MILLISECONDS, Math.min(MAX_RETRY_AFTER_MILLISECONDS, rounded));
    }
}
