package org.damaskmoor.core.queueing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Calls that wait beside one upstream for a slot; answers bursts that are longer than the slots and
 * shorter than the callers' patience.
 *
 * <pre>{@code
 * Verdict verdict = room.offer(call, delay, mayStart, now);
 * // hand over, keep or send back; whenever a call has ended:
 * room.ended(milliseconds);
 * room.hopeless(now).forEach(this::sendBack);
 * for (T call = room.next(now); call != null; call = room.next(now)) { handOver(call); }
 * }</pre>
 *
 * <p>A call waits only where its turn is expected before its answer loses its worth; otherwise it
 * is sent back at once, so that its caller can go elsewhere or come again. The most urgent go
 * first. Among equals, calls that are much shorter than usual go first: they cost the others
 * little, and are often calls that a longer one elsewhere waits for. Then come those that can still
 * meet their objective, the one with the nearest objective first. An urgent call takes the place of
 * a less urgent one when the room is full.
 *
 * <p>Invariants: never more running than the limit, save after the limit fell; a call leaves the
 * room once. Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class AdmissionQueue<T> {
    /** Weight of one service time in the mean. */
    private static final double NEWS_WEIGHT = 0.1;

    /** Service time before any is known, in milliseconds. */
    private static final double FIRST_SERVICE_MILLISECONDS = 100;

    /** Most that wait for each slot: more than this could not be served within any objective. */
    private static final int MOST_WAITING_PER_SLOT = 4;

    /**
     * A call that will miss its objective may wait for this part of what is left to its deadline.
     */
    private static final double LATE_WAIT_SHARE = 0.15;

    /** With so many waiting for each slot, calls that will miss their objective are not taken. */
    private static final double PRESSURE_PER_SLOT = 0.5;

    /** Weight of one call in the share of work that is more urgent. */
    private static final double URGENCY_NEWS_WEIGHT = 0.03;

    /** Urgent work delays the others no more than if it took this share of the slots. */
    private static final double MOST_URGENT_SHARE = 0.8;

    /** A call that takes no more than this part of the mean service time is a short one. */
    private static final double SHORT_PART = 0.35;

    /** Least part of its usual time that a call needs before its deadline to be worth running. */
    private static final double LEAST_WORK_SHARE = 0.8;

    private static final int SHORT = 0;
    private static final int MEETS_OBJECTIVE = 1;
    private static final int MISSES_OBJECTIVE = 2;
    private static final long LEAST_RETRY_AFTER_MILLISECONDS = 50;
    private static final long MOST_RETRY_AFTER_MILLISECONDS = 3000;

    private final List<QueuedCall<T>> waiting = new ArrayList<>();
    private final List<T> displaced = new ArrayList<>();
    private final NavigableMap<Integer, Double> shareByPriority = new TreeMap<>();
    private int limit = 1;
    private int running;
    private double serviceMilliseconds = FIRST_SERVICE_MILLISECONDS;

    /** Sets how many may run at once. */
    public void setLimit(int calls) {
        limit = Math.max(1, calls);
    }

    /** How many may run at once. */
    public int limit() {
        return limit;
    }

    /** Calls that run now. */
    public int running() {
        return running;
    }

    /** Calls that wait now. */
    public int waiting() {
        return waiting.size();
    }

    /**
     * A call asks to run.
     *
     * @param delayMilliseconds how much longer than usual it would take here, besides its turn
     * @param mayStart whether calls may be handed over at this instant
     */
    public QueueDecision offer(
            QueuedCall<T> call, double delayMilliseconds, boolean mayStart, long now) {
        double wait = running < limit && waiting.isEmpty() ? 0 : expectedWait(call, now);
        if (!call.lastChoice() && wait + delayMilliseconds > call.spareMilliseconds()) {
            return QueueDecision.sendBack(retryAfter(wait));
        }
        if (running < limit && waiting.isEmpty() && mayStart) {
            running++;
            countUrgency(call.priority());
            return QueueDecision.START;
        }
        double service = call.usualMilliseconds() + delayMilliseconds;
        double urgent = Math.min(MOST_URGENT_SHARE, urgentShare(call.priority()));
        wait = wait / (1 - urgent);
        boolean meetsObjective = now + wait + service <= call.objectiveAt();
        boolean worthWaiting =
                meetsObjective
                        || (call.lastChoice()
                                && (!isUnderPressure() || rank(call, now) == SHORT)
                                && wait <= LATE_WAIT_SHARE * (call.deadlineAt() - now)
                                && now + wait + service <= call.deadlineAt());
        if (!worthWaiting || !makeRoom(call)) {
            return QueueDecision.sendBack(retryAfter(wait));
        }
        waiting.add(call);
        return QueueDecision.WAIT;
    }

    /** The next call to hand over, or null when none may start now. */
    public T poll(long now) {
        if (running >= limit || waiting.isEmpty()) {
            return null;
        }
        QueuedCall<T> best = waiting.get(0);
        for (QueuedCall<T> call : waiting) {
            if (goesBefore(call, best, now)) {
                best = call;
            }
        }
        waiting.remove(best);
        running++;
        countUrgency(best.priority());
        return best.handle();
    }

    /** Takes out the calls that can no longer be served in time. */
    public List<T> removeExpired(long now) {
        List<T> hopeless = List.of();
        Iterator<QueuedCall<T>> calls = waiting.iterator();
        while (calls.hasNext()) {
            QueuedCall<T> call = calls.next();
            double usual = call.usualMilliseconds();
            boolean tooLate = now + LEAST_WORK_SHARE * usual >= call.deadlineAt();
            if (tooLate) {
                calls.remove();
                hopeless = hopeless.isEmpty() ? new ArrayList<>() : hopeless;
                hopeless.add(call.handle());
            }
        }
        return hopeless;
    }

    /** Takes out the calls whose places more urgent ones have taken since the last question. */
    public List<T> drainDisplaced() {
        if (displaced.isEmpty()) {
            return List.of();
        }
        List<T> taken = List.copyOf(displaced);
        displaced.clear();
        return taken;
    }

    /** Takes all calls out. */
    public List<T> drainAll() {
        List<T> all = new ArrayList<>();
        waiting.forEach(call -> all.add(call.handle()));
        waiting.clear();
        return all;
    }

    /** Takes a waiting call out. False: it does not wait here. */
    public boolean remove(T handle) {
        return waiting.removeIf(call -> call.handle().equals(handle));
    }

    /** A call that ran was answered. */
    public void onAnswered(double milliseconds) {
        onAbandoned();
        serviceMilliseconds += NEWS_WEIGHT * (milliseconds - serviceMilliseconds);
    }

    /** A call that ran has ended without telling how long such calls take. */
    public void onAbandoned() {
        running--;
    }

    /** When room for one more call is expected, in milliseconds from now. */
    public long retryAfterMilliseconds() {
        return retryAfter((waiting.size() + 1) * serviceMilliseconds / limit);
    }

    private double expectedWait(QueuedCall<T> coming, long now) {
        int ahead = 1 + running - limit;
        for (QueuedCall<T> call : waiting) {
            if (!goesBefore(coming, call, now)) {
                ahead++;
            }
        }
        return Math.max(0, ahead) * serviceMilliseconds / limit;
    }

    /** Part of recent calls that were more urgent: their like will go before a waiting call. */
    private double urgentShare(int priority) {
        double share = 0;
        for (var entry : shareByPriority.headMap(priority).entrySet()) {
            share += entry.getValue();
        }
        return share;
    }

    private void countUrgency(int priority) {
        shareByPriority.replaceAll((known, share) -> share * (1 - URGENCY_NEWS_WEIGHT));
        shareByPriority.merge(priority, URGENCY_NEWS_WEIGHT, Double::sum);
    }

    private boolean isUnderPressure() {
        return waiting.size() >= PRESSURE_PER_SLOT * limit;
    }

    private boolean makeRoom(QueuedCall<T> coming) {
        if (waiting.size() < MOST_WAITING_PER_SLOT * limit) {
            return true;
        }
        QueuedCall<T> least = null;
        for (QueuedCall<T> call : waiting) {
            if (least == null
                    || call.priority() > least.priority()
                    || (call.priority() == least.priority()
                            && call.objectiveAt() > least.objectiveAt())) {
                least = call;
            }
        }
        if (least == null || least.priority() <= coming.priority()) {
            return false;
        }
        waiting.remove(least);
        displaced.add(least.handle());
        return true;
    }

    private boolean goesBefore(QueuedCall<T> call, QueuedCall<T> other, long now) {
        if (call.priority() != other.priority()) {
            return call.priority() < other.priority();
        }
        int rank = rank(call, now);
        int otherRank = rank(other, now);
        return rank == otherRank ? call.objectiveAt() < other.objectiveAt() : rank < otherRank;
    }

    private int rank(QueuedCall<T> call, long now) {
        double usual = call.usualMilliseconds();
        if (usual > 0 && usual <= SHORT_PART * serviceMilliseconds) {
            return SHORT;
        }
        return now + usual <= call.objectiveAt() ? MEETS_OBJECTIVE : MISSES_OBJECTIVE;
    }

    private static long retryAfter(double milliseconds) {
        long rounded = Math.round(milliseconds);
        return Math.max(
                LEAST_RETRY_AFTER_MILLISECONDS, Math.min(MOST_RETRY_AFTER_MILLISECONDS, rounded));
    }
}
