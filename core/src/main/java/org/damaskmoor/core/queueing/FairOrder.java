package org.damaskmoor.core.queueing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.damaskmoor.core.id.TenantName;

/**
 * The order in which waiting calls start when tenants share an upstream: the highest priority
 * first; within it a tenant of which far fewer calls than of the others were started in proportion,
 * then the tenant for which the least work was started; within a tenant the kind that is served too
 * rarely, then the order of {@link CallOrder}.
 *
 * <p>Load pattern: a tenant that sends many times as much as each of the others, while all together
 * exceed the capacity.
 *
 * <p>Calls without a tenant that compete with tenants are one flow with the weight of all waiting
 * tenants, because upstreams send them on behalf of all. A call that has missed its objective is
 * overtaken by at most {@link #MAX_OVERTAKING} others of its tenant before one such call starts.
 *
 * <p>Invariant: where capacity is not shared, or no call of the priority has a tenant and no kind
 * is served too rarely, the order is that of {@link CallOrder}. Not thread-safe.
 */
final class FairOrder<T> {
    /**
     * Starts of a tenant's calls after which one that has missed its objective goes first: often
     * enough to start before a deadline several objectives away, and costs a ninth of the slots.
     */
    private static final int MAX_OVERTAKING = 8;

    /** Share of the starts below which a flow's rate is not known well enough. */
    private static final double MIN_KNOWN_SHARE = 0.02;

    private final CallOrder<T> order;
    private final MeanServiceTime meanServiceTime;
    private final BooleanSupplier capacityIsShared;
    private final VirtualTimes virtualTimes = new VirtualTimes();
    private final ServedShares<Integer> kindShares = new ServedShares<>();
    private final ServedShares<Flow> flowShares = new ServedShares<>();
    private final Map<Flow, Integer> overtaking = new HashMap<>();

    FairOrder(
            CallOrder<T> order, MeanServiceTime meanServiceTime, BooleanSupplier capacityIsShared) {
        this.order = order;
        this.meanServiceTime = meanServiceTime;
        this.capacityIsShared = capacityIsShared;
    }

    /** Whether capacity is shared among tenants and kinds. */
    boolean isFair() {
        return capacityIsShared.getAsBoolean();
    }

    /** Returns the call to start next; the collection must not be empty. */
    QueuedCall<T> first(Collection<QueuedCall<T>> waiting, long now) {
        if (!isFair()) {
            return order.first(waiting, now);
        }
        List<QueuedCall<T>> calls = ofPriority(waiting, highestPriority(waiting));
        if (!haveTenants(calls)) {
            return order.first(preferred(calls), now);
        }
        List<QueuedCall<T>> flow = furthestBehind(calls, now);
        List<QueuedCall<T>> late = lateCalls(flow, now);
        boolean lateGoesFirst =
                !late.isEmpty()
                        && overtaking.getOrDefault(Flow.of(late.get(0)), 0) >= MAX_OVERTAKING;
        return order.first(lateGoesFirst ? late : preferred(flow), now);
    }

    /** Number of waiting calls other than the given one that are expected to start before it. */
    int countBefore(Collection<QueuedCall<T>> waiting, QueuedCall<T> arriving, long now) {
        if (!isFair()) {
            return order.countBefore(waiting, arriving, now);
        }
        int ahead = 0;
        List<QueuedCall<T>> competing = new ArrayList<>();
        for (QueuedCall<T> call : waiting) {
            if (call.priority() < arriving.priority()) {
                ahead++;
            } else if (call.priority() == arriving.priority()) {
                competing.add(call);
            }
        }
        if (arriving.tenant().isEmpty() && !haveTenants(competing)) {
            return ahead + countBeforeInFlow(competing, arriving, now);
        }
        return ahead + countBeforeAmongFlows(competing, arriving, now);
    }

    /**
     * A call was started.
     *
     * @param stillWaiting the calls that wait after it
     */
    void onStarted(QueuedCall<T> call, Collection<QueuedCall<T>> stillWaiting, long now) {
        if (!isFair()) {
            return;
        }
        recordDecision(call, true);
        if (stillWaiting.isEmpty()) {
            overtaking.clear();
        }
        Flow flow = Flow.of(call);
        List<QueuedCall<T>> competing = ofPriority(stillWaiting, call.priority());
        virtualTimes.onStarted(flow, work(call) / weight(flow, competing));
        boolean overtook = !isLate(call, now) && !lateCalls(ofFlow(competing, flow), now).isEmpty();
        if (overtook) {
            overtaking.merge(flow, 1, Integer::sum);
        } else {
            overtaking.remove(flow);
        }
    }

    /** A call was finally refused. */
    void onRefused(QueuedCall<T> call) {
        if (isFair()) {
            recordDecision(call, false);
        }
    }

    private void recordDecision(QueuedCall<T> call, boolean started) {
        kindShares.onDecided(call.priority(), kindOf(call), started);
        flowShares.onDecided(call.priority(), Flow.of(call), started);
    }

    private boolean isUnderservedKind(QueuedCall<T> call) {
        return kindShares.isUnderserved(call.priority(), kindOf(call));
    }

    /**
     * The power of two into which the service time falls, because calls carry no name of their
     * route. A route on both sides of a power of two counts as two kinds, each served often enough.
     */
    private static int kindOf(QueuedCall<?> call) {
        return call.serviceMilliseconds() < 1 ? 0 : Math.getExponent(call.serviceMilliseconds());
    }

    private boolean isUnderservedFlow(Flow flow) {
        return flowShares.isUnderserved(flow.priority(), flow);
    }

    private double startTime(Flow flow) {
        return isUnderservedFlow(flow) ? Double.NEGATIVE_INFINITY : virtualTimes.next(flow);
    }

    private int countBeforeInFlow(List<QueuedCall<T>> flow, QueuedCall<T> arriving, long now) {
        boolean arrivingIsUnderserved = isUnderservedKind(arriving);
        int ahead = 0;
        List<QueuedCall<T>> equal = new ArrayList<>();
        for (QueuedCall<T> call : flow) {
            boolean isUnderserved = isUnderservedKind(call);
            if (isUnderserved == arrivingIsUnderserved) {
                equal.add(call);
            } else if (isUnderserved && !call.handle().equals(arriving.handle())) {
                ahead++;
            }
        }
        return ahead + order.countBefore(equal, arriving, now);
    }

    private int countBeforeAmongFlows(
            List<QueuedCall<T>> competing, QueuedCall<T> arriving, long now) {
        Flow ownFlow = Flow.of(arriving);
        int ownAhead = countBeforeInFlow(ofFlow(competing, ownFlow), arriving, now);
        List<QueuedCall<T>> all = new ArrayList<>(competing);
        all.add(arriving);
        double ownStart =
                virtualTimes.next(ownFlow) + ownAhead * work(arriving) / weight(ownFlow, all);
        Map<Flow, Double> nextStarts = new HashMap<>();
        int ahead = ownAhead;
        for (QueuedCall<T> call : competing) {
            Flow flow = Flow.of(call);
            if (flow.equals(ownFlow)) {
                continue;
            }
            double start = nextStarts.computeIfAbsent(flow, this::startTime);
            if (start <= ownStart) {
                ahead++;
            }
            nextStarts.put(flow, start + work(call) / weight(flow, all));
        }
        return Math.max(ahead, countUntilTurn(ownFlow, ownAhead));
    }

    /** Starts of all flows until a flow has had the given number, at its recent share of them. */
    private int countUntilTurn(Flow flow, int turns) {
        double share = flowShares.shareOfStarts(flow.priority(), flow);
        return share < MIN_KNOWN_SHARE ? 0 : (int) (turns / share);
    }

    private List<QueuedCall<T>> furthestBehind(List<QueuedCall<T>> calls, long now) {
        Map<Flow, List<QueuedCall<T>>> flows = new HashMap<>();
        double lowest = Double.POSITIVE_INFINITY;
        for (QueuedCall<T> call : calls) {
            Flow flow = Flow.of(call);
            flows.computeIfAbsent(flow, unused -> new ArrayList<>()).add(call);
            lowest = Math.min(lowest, startTime(flow));
        }
        List<QueuedCall<T>> firstOfLowest = new ArrayList<>();
        for (Map.Entry<Flow, List<QueuedCall<T>>> flow : flows.entrySet()) {
            if (startTime(flow.getKey()) <= lowest) {
                firstOfLowest.add(order.first(flow.getValue(), now));
            }
        }
        return flows.get(Flow.of(order.first(firstOfLowest, now)));
    }

    /** The calls of kinds that are served too rarely, or all if there are none. */
    private List<QueuedCall<T>> preferred(List<QueuedCall<T>> calls) {
        List<QueuedCall<T>> underserved = new ArrayList<>();
        for (QueuedCall<T> call : calls) {
            if (isUnderservedKind(call)) {
                underserved.add(call);
            }
        }
        return underserved.isEmpty() ? calls : underserved;
    }

    private double weight(Flow flow, Collection<QueuedCall<T>> competing) {
        if (flow.tenant().isPresent()) {
            return 1;
        }
        Set<TenantName> tenants = new HashSet<>();
        competing.forEach(call -> call.tenant().ifPresent(tenants::add));
        return Math.max(1, tenants.size());
    }

    private double work(QueuedCall<T> call) {
        return call.serviceMilliseconds() > 0
                ? call.serviceMilliseconds()
                : meanServiceTime.milliseconds();
    }

    private static boolean isLate(QueuedCall<?> call, long now) {
        return now + call.serviceMilliseconds() > call.objectiveAt();
    }

    private static <T> List<QueuedCall<T>> lateCalls(List<QueuedCall<T>> calls, long now) {
        return calls.stream().filter(call -> isLate(call, now)).toList();
    }

    private static <T> boolean haveTenants(List<QueuedCall<T>> calls) {
        return calls.stream().anyMatch(call -> call.tenant().isPresent());
    }

    private static <T> List<QueuedCall<T>> ofFlow(List<QueuedCall<T>> calls, Flow flow) {
        return calls.stream().filter(call -> Flow.of(call).equals(flow)).toList();
    }

    private static <T> List<QueuedCall<T>> ofPriority(
            Collection<QueuedCall<T>> calls, int priority) {
        return calls.stream().filter(call -> call.priority() == priority).toList();
    }

    private static <T> int highestPriority(Collection<QueuedCall<T>> calls) {
        return calls.stream().mapToInt(QueuedCall::priority).min().getAsInt();
    }
}
