package org.damaskmoor.core.retry;

import java.util.ArrayDeque;

/**
 * One node's part of a budget of further attempts that all nodes share, kept without asking
 * anybody; answers failures that come to all callers at once.
 *
 * <p>In any window the fleet may send a share of its requests, and a fixed number besides, as
 * further attempts. A node spends the share of its own requests and its part of the fixed number,
 * so that the sum over all nodes stays within the bound however the requests are divided. Times are
 * in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class FleetRetryBudget {
    /** Part of the bound that is spent: requests that nodes count late must not break it. */
    private static final double SPENT_PART = 0.7;

    private final double ratio;
    private final double slack;
    private final long windowMilliseconds;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> attempts = new ArrayDeque<>();

    /**
     * Creates a full budget.
     *
     * @param ratio further attempts for each request, over the fleet
     * @param slack further attempts beside those, over the fleet and a window
     * @param windowMilliseconds length of the sliding window
     */
    public FleetRetryBudget(double ratio, double slack, long windowMilliseconds) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMilliseconds = windowMilliseconds;
    }

    /** A caller's request came. */
    public void onRequest(long now) {
        requests.addLast(now);
    }

    /**
     * Takes a further attempt out of the budget. False: it must not be sent.
     *
     * @param nodes nodes that share the budget
     */
    public boolean tryAcquire(int nodes, long now) {
        forget(requests, now);
        forget(attempts, now);
        double allowed = SPENT_PART * (ratio * requests.size() + slack / Math.max(1, nodes));
        if (attempts.size() + 1 > allowed) {
            return false;
        }
        attempts.addLast(now);
        return true;
    }

    private void forget(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && times.peekFirst() <= now - windowMilliseconds) {
            times.removeFirst();
        }
    }
}
