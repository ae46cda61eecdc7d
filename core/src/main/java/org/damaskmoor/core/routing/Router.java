package org.damaskmoor.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.RegionSummary;
import org.damaskmoor.core.routing.internal.ServiceRouter;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Selects the target for each request to one service at an entry node.
 *
 * <pre>{@code
 * router.updateTargets(membership.targetsOf(service), now);
 * Optional<Choice> choice = router.choose(request, Set.of(), now);
 * router.onSent(choice.get().target().id(), now);
 * router.onAnswered(choice.get().target().id(), latency, answer.getLoad(), now);
 * }</pre>
 *
 * <p>Invariants: a target that is leaving, absent or excluded is never chosen; each {@code onSent}
 * must be followed by exactly one of {@code onAnswered}, {@code onRefused}, {@code onFailed} and
 * {@code onAbandoned}. Events for an unknown target or an earlier incarnation are ignored. Times
 * are in nanoseconds of one monotonic clock. Not thread-safe: use each router from a single thread.
 */
public interface Router {
    /** Creates a router for an entry node in the given region and data centre. */
    static Router create(
            RegionName region,
            DataCentreName dataCentre,
            RoutingOptions options,
            ChoicePolicy policy,
            RandomGenerator random) {
        return new ServiceRouter(region, dataCentre, options, policy, random);
    }

    /** Replaces all targets with those of a new membership snapshot. */
    void updateTargets(Collection<Target> targets, long nowNanoseconds);

    /** Selects the target for the next attempt; empty when no target may take it. */
    Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long nowNanoseconds);

    /**
     * Selects the target for a request with an idempotency key. The same key maps to the same
     * target as long as that target takes new work, regardless of other targets joining or leaving.
     *
     * @param scope whether entry nodes of other regions select the same target
     */
    Optional<Choice> chooseForKey(
            String key, KeyScope scope, Set<NodeId> excluded, long nowNanoseconds);

    /** Called when an attempt was sent. */
    void onSent(TargetId target, long nowNanoseconds);

    /**
     * Called when a complete answer arrived, {@code latencyNanoseconds} after the attempt was sent.
     */
    void onAnswered(TargetId target, long latencyNanoseconds, LoadReport load, long nowNanoseconds);

    /**
     * Called when the target refused the attempt as "not run", {@code waitedNanoseconds} after it
     * was sent.
     */
    void onRefused(
            TargetId target,
            long waitedNanoseconds,
            RefusalReason reason,
            LoadReport load,
            long nowNanoseconds);

    /** Called when the attempt failed or the upstream answered with a server error. */
    void onFailed(TargetId target, long waitedNanoseconds, long nowNanoseconds);

    /**
     * Called when the caller gave up or another attempt answered first. Does not affect the
     * target's failure rate.
     */
    void onAbandoned(TargetId target, long waitedNanoseconds, long nowNanoseconds);

    /** Called when a load report arrived outside an answer, for example from a probe. */
    void onLoadReport(TargetId target, LoadReport load, long nowNanoseconds);

    /** Called when the load summary of another region arrived. */
    void onRegionSummary(RegionSummary summary, long nowNanoseconds);

    /**
     * Called when no connection to the target could be opened. Does not end an attempt: if one was
     * sent, call {@code onFailed} as well.
     */
    void onUnreachable(TargetId target, long nowNanoseconds);

    /** Returns the current estimate for each target, for operators. */
    List<CandidateEstimate> explain(long nowNanoseconds);

    /** Whether requests may go to other regions because the local region has no headroom left. */
    boolean isRegionHeadroomExhausted();
}
