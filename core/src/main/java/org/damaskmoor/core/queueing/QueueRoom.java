package org.damaskmoor.core.queueing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the number of waiting calls and chooses the call that gives way when there are too many.
 * Stateless and thread-safe.
 */
final class QueueRoom<T> {
    /** Maximum queue length per slot; more calls could not be served within any objective. */
    private static final int MAX_WAITING_PER_SLOT = 4;

    /** From this queue length per slot on, calls that will miss their objective are sent back. */
    private static final double PRESSURE_WAITING_PER_SLOT = 0.5;

    boolean isFull(int waiting, int limit) {
        return waiting >= MAX_WAITING_PER_SLOT * limit;
    }

    /** Whether so many calls wait that late ones are a burden to the others. */
    boolean isUnderPressure(int waiting, int limit) {
        return waiting >= PRESSURE_WAITING_PER_SLOT * limit;
    }

    /**
     * Returns the waiting call that gives way to an arriving one when the queue is full: of the
     * lowest priority the call with the latest objective; null when none has a lower priority.
     */
    QueuedCall<T> callToDisplace(Collection<QueuedCall<T>> waiting, QueuedCall<T> arriving) {
        QueuedCall<T> lowest = lowest(waiting);
        return lowest == null || lowest.priority() <= arriving.priority() ? null : lowest;
    }

    /**
     * The same where tenants share the queue: of the lowest priority the tenant with the most
     * waiting calls gives way. To a call of the same priority it does so only if it still has as
     * many waiting calls afterwards as the arriving call's tenant.
     */
    QueuedCall<T> callToDisplaceFairly(Collection<QueuedCall<T>> waiting, QueuedCall<T> arriving) {
        QueuedCall<T> lowest = lowest(waiting);
        if (lowest == null || lowest.priority() < arriving.priority()) {
            return null;
        }
        Map<Flow, List<QueuedCall<T>>> flows = new LinkedHashMap<>();
        for (QueuedCall<T> call : waiting) {
            if (call.priority() == lowest.priority()) {
                flows.computeIfAbsent(Flow.of(call), unused -> new ArrayList<>()).add(call);
            }
        }
        long tenants = flows.keySet().stream().filter(flow -> flow.tenant().isPresent()).count();
        Flow longest = null;
        double maxLength = 0;
        for (Flow flow : flows.keySet()) {
            double length = length(flow, flows.get(flow), tenants);
            if (length > maxLength) {
                maxLength = length;
                longest = flow;
            }
        }
        Flow own = Flow.of(arriving);
        boolean givesWay =
                lowest.priority() > arriving.priority()
                        || length(own, flows.getOrDefault(own, List.of()), tenants) + 2
                                <= maxLength;
        return givesWay ? lowest(flows.get(longest)) : null;
    }

    /** Calls without a tenant, sent on behalf of all tenants, have the weight of all of them. */
    private double length(Flow flow, List<QueuedCall<T>> calls, long tenants) {
        return (double) calls.size() / (flow.tenant().isPresent() ? 1 : Math.max(1, tenants));
    }

    private QueuedCall<T> lowest(Collection<QueuedCall<T>> calls) {
        QueuedCall<T> lowest = null;
        for (QueuedCall<T> call : calls) {
            if (lowest == null
                    || call.priority() > lowest.priority()
                    || (call.priority() == lowest.priority()
                            && call.objectiveAt() > lowest.objectiveAt())) {
                lowest = call;
            }
        }
        return lowest;
    }
}
