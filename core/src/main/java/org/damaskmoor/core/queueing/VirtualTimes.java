package org.damaskmoor.core.queueing;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing: a flow's virtual time advances by the work that was started for it, and
 * the flow that is furthest behind is served next.
 *
 * <p>A flow that had nothing waiting continues at the virtual time of its priority, so that it gets
 * neither credit for idle time nor a penalty for slots that nobody else wanted.
 *
 * <p>Memory is bounded: flows that are not ahead of their priority's virtual time are removed when
 * the number of flows has doubled. Not thread-safe.
 */
final class VirtualTimes {
    private static final int MIN_FLOWS_BEFORE_REMOVAL = 64;

    private final Map<Flow, Double> finishTimes = new HashMap<>();
    private final Map<Integer, Double> priorityTimes = new HashMap<>();
    private int flowsBeforeRemoval = MIN_FLOWS_BEFORE_REMOVAL;

    /** Virtual time at which the next call of a flow starts. */
    double next(Flow flow) {
        return Math.max(
                finishTimes.getOrDefault(flow, 0.0),
                priorityTimes.getOrDefault(flow.priority(), 0.0));
    }

    /** Records that work of a flow, divided by the flow's weight, was started. */
    void onStarted(Flow flow, double weightedWork) {
        double start = next(flow);
        priorityTimes.put(flow.priority(), start);
        finishTimes.put(flow, start + weightedWork);
        if (finishTimes.size() > flowsBeforeRemoval) {
            removeIdle();
        }
    }

    private void removeIdle() {
        finishTimes
                .entrySet()
                .removeIf(flow -> flow.getValue() <= priorityTimes.get(flow.getKey().priority()));
        priorityTimes
                .keySet()
                .removeIf(
                        priority ->
                                finishTimes.keySet().stream()
                                        .noneMatch(flow -> flow.priority() == priority));
        flowsBeforeRemoval = Math.max(MIN_FLOWS_BEFORE_REMOVAL, 2 * finishTimes.size());
    }
}
