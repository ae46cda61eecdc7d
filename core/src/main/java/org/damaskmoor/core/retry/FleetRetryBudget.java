package org.damaskmoor.core.retry;

import java.util.ArrayDeque;

/**
 * One node's part of a retry budget for the whole fleet, enforced without coordination. Prevents
 * retry storms when all callers see failures at once.
 *
 * <p>In any window the fleet may retry a fraction of its requests plus a fixed number. A node may
 * use that fraction of its own requests and an equal part of the fixed number, so the sum over all
 * nodes stays within the bound for any distribution of the requests. Times are in milliseconds of
 * one monotonic clock. Not thread-safe.
 */
public final class FleetRetryBudget {
    /** Fraction of the bound that is used, a margin for requests that nodes count late. */
    private static final double USED_FRACTION = 0.7;

    private final double ratio;
    private final double slack;
    private final long windowMilliseconds;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

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
    }

    /**
     * Takes a retry from the budget; when it returns false the retry must not be sent.
     *
     * @param nodes number of nodes that share the budget
     */
    public boolean tryAcquire(int nodes, long now) {
        removeExpired(requests, now);
        removeExpired(retries, now);
        double allowed = USED_FRACTION * (ratio * requests.size() + slack / Math.max(1, nodes));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    private void removeExpired(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && times.peekFirst() <= now - windowMilliseconds) {
            times.removeFirst();
        }
    }
}
