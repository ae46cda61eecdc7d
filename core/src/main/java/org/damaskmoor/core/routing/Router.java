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
 * Decides at an entry node which target of one service gets a request.
 *
 * <pre>{@code
 * router.updateTargets(membership.targetsOf(service), now);
 * Optional<Choice> choice = router.choose(request, Set.of(), now);
 * router.onSent(choice.get().target().id(), now);
 * router.onAnswered(choice.get().target().id(), latency, answer.getLoad(), now);
 * }</pre>
 *
 * <p>Invariants: a target that is leaving, absent or excluded is never chosen; each {@code onSent}
 * is ended by exactly one of {@code onAnswered}, {@code onRefused}, {@code onFailed} and {@code
 * onAbandoned}. News of an unknown target or a former incarnation is ignored. Times are in
 * nanoseconds of one monotonic clock. Not thread-safe: one router belongs to one thread.
 */
public interface Router {
    /** A router for a node that stands in the given region and data centre. */
    static Router create(
            RegionName region,
            DataCentreName dataCentre,
            RoutingOptions options,
            ChoicePolicy policy,
            RandomGenerator random) {
        return new ServiceRouter(region, dataCentre, options, policy, random);
    }

    /** Replaces the targets by those of a new membership snapshot. */
    void updateTargets(Collection<Target> targets, long nowNanoseconds);

    /** The target for the next attempt; empty when no target may take it. */
    Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long nowNanoseconds);

    /**
     * The target for a request with an idempotency key. The same key goes to the same target as
     * long as that target takes new work, whatever other targets come and go.
     *
     * @param scope whether entry nodes of other regions choose the same target
     */
    Optional<Choice> chooseForKey(
            String key, KeyScope scope, Set<NodeId> excluded, long nowNanoseconds);

    /** An attempt was sent. */
    void onSent(TargetId target, long nowNanoseconds);

    /** A whole answer came; {@code latencyNanoseconds} is the time since it was sent. */
    void onAnswered(TargetId target, long latencyNanoseconds, LoadReport load, long nowNanoseconds);

    /** The target refused the attempt, sent {@code waitedNanoseconds} ago, as "not run". */
    void onRefused(
            TargetId target,
            long waitedNanoseconds,
            RefusalReason reason,
            LoadReport load,
            long nowNanoseconds);

    /** The attempt failed, or the upstream answered with a server error. */
    void onFailed(TargetId target, long waitedNanoseconds, long nowNanoseconds);

    /** The caller gave up or another attempt won: says nothing about the target. */
    void onAbandoned(TargetId target, long waitedNanoseconds, long nowNanoseconds);

    /** A load report came by other means than an answer, for example a probe. */
    void onLoadReport(TargetId target, LoadReport load, long nowNanoseconds);

    /** The summary of another region came over the paid link. */
    void onRegionSummary(RegionSummary summary, long nowNanoseconds);

    /** No connection could be opened. Ends no attempt: call {@code onFailed} too after a send. */
    void onUnreachable(TargetId target, long nowNanoseconds);

    /** How each target would be weighed now, for operators. */
    List<CandidateEstimate> explain(long nowNanoseconds);

    /** Whether the paid link is in use because the own region has no headroom left. */
    boolean isRegionHeadroomExhausted();
}
