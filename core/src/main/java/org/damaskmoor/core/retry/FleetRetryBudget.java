package org.damaskmoor.core.retry;

import java.util.ArrayDeque;

/**
 * One node's part of a retry budget for the whole fleet, enforced without coordination. Prevents
 * retry storms when all callers see failures at once.
 *
 * <p>In any window the fleet may retry a fraction of its requests plus a fixed number. A node may
 * use that fraction of its own requests and an equal part of the fixed number, so the sum over all
 * nodes stays within the bound for any distribution of the requests.
 *
 * <p>When failures come to requests of different urgency at once, the less urgent ones leave a part
 * of the budget to the most urgent ones: those are typically sent by an upstream on behalf of a
 * request that has already been worked on, and can't be sent again by a caller. Times are in
 * milliseconds of one monotonic clock. Not thread-safe.
 */
public final class FleetRetryBudget {
    /** Fraction of the bound that is used, a margin for requests that nodes count late. */
    private static final double USED_FRACTION = 0.7;

    /** Part of the budget that less urgent requests may use while more urgent ones need it too. */
    private static final double LESS_URGENT_FRACTION = 0.4;

    private final double ratio;
    private final double slack;
    private final long windowMilliseconds;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Retry> retries = new ArrayDeque<>();
    private final ArrayDeque<Retry> wanted = new ArrayDeque<>();

    /** A retry that was wanted or taken; 0 is the most urgent priority. */
    private record Retry(int priority, long at) {}

    /**
     * Creates a full budget.
     *
     * @param ratio retries per request, over the fleet
     * @param slack additional retries per window, over the fleet
     * @param windowMilliseconds length of the sliding window
     */
    public FleetRetryBudget(double ratio, double slack, long windowMilliseconds) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMilliseconds = windowMilliseconds;
    }

    /** Called when a request of a caller arrived. */
    public void onRequest(long now) {
        requests.addLast(now);
        removeExpired(now);
    }

    /**
     * Takes a retry from the budget; when it returns false the retry must not be sent.
     *
     * @param priority priority of the request; 0 is the most urgent
     * @param nodes number of nodes that share the budget
     */
    public boolean tryAcquire(int priority, int nodes, long now) {
        removeExpired(now);
        wanted.addLast(new Retry(priority, now));
        double allowed = USED_FRACTION * (ratio * requests.size() + slack / Math.max(1, nodes));
        boolean lessUrgent = wanted.stream().anyMatch(other -> other.priority < priority);
        if (lessUrgent && lessUrgentRetries(priority) + 1 > LESS_URGENT_FRACTION * allowed) {
            return false;
        }
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(new Retry(priority, now));
        return true;
    }

    private long lessUrgentRetries(int priority) {
        return retries.stream().filter(retry -> retry.priority >= priority).count();
    }

    private void removeExpired(long now) {
        long expiredAt = now - windowMilliseconds;
        while (!requests.isEmpty() && requests.peekFirst() <= expiredAt) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.peekFirst().at <= expiredAt) {
            retries.removeFirst();
        }
        while (!wanted.isEmpty() && wanted.peekFirst().at <= expiredAt) {
            wanted.removeFirst();
        }
    }
}
