package org.damaskmoor.node.internal.load;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.ProbePlanner;
import org.damaskmoor.core.load.RegionSummary;
import org.damaskmoor.core.routing.CandidateEstimate;
import org.damaskmoor.core.routing.Choice;
import org.damaskmoor.core.routing.KeyScope;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingRequest;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * A router that informs a probe planner which targets have reported their load and delegates to
 * another router.
 *
 * <p>Confined to the caller event loop. Invariant: an empty report doesn't count as a report; the
 * node never probes itself.
 */
final class ProbeTrackingRouter implements Router {
    private final Router router;
    private final ProbePlanner planner;
    private final NodeId self;

    ProbeTrackingRouter(Router router, ProbePlanner planner, NodeId self) {
        this.self = self;
        this.router = router;
        this.planner = planner;
    }

    private void recordReport(TargetId target, LoadReport load, long now) {
        if (load.getLimit() > 0) {
            planner.onLoadReport(target, now);
        }
    }

    @Override
    public void updateTargets(Collection<Target> targets, long now) {
        List<Target> others =
                targets.stream().filter(target -> !target.id().node().equals(self)).toList();
        planner.updateTargets(others, now);
        router.updateTargets(targets, now);
    }

    @Override
    public void onSent(TargetId target, long now) {
        planner.onRequest(now);
        router.onSent(target, now);
    }

    @Override
    public void onAnswered(TargetId target, long latency, LoadReport load, long now) {
        recordReport(target, load, now);
        router.onAnswered(target, latency, load, now);
    }

    @Override
    public void onRefused(
            TargetId target, long waited, RefusalReason reason, LoadReport load, long now) {
        recordReport(target, load, now);
        router.onRefused(target, waited, reason, load, now);
    }

    @Override
    public void onLoadReport(TargetId target, LoadReport load, long now) {
        recordReport(target, load, now);
        router.onLoadReport(target, load, now);
    }

    @Override
    public Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long now) {
        return router.choose(request, excluded, now);
    }

    @Override
    public Optional<Choice> chooseForKey(
            String key, KeyScope scope, Set<NodeId> excluded, long now) {
        return router.chooseForKey(key, scope, excluded, now);
    }

    @Override
    public void onFailed(TargetId target, long waited, long now) {
        router.onFailed(target, waited, now);
    }

    @Override
    public void onAbandoned(TargetId target, long waited, long now) {
        router.onAbandoned(target, waited, now);
    }

    @Override
    public void onRegionSummary(RegionSummary summary, long now) {
        router.onRegionSummary(summary, now);
    }

    @Override
    public void onUnreachable(TargetId target, long now) {
        router.onUnreachable(target, now);
    }

    @Override
    public List<CandidateEstimate> explain(long now) {
        return router.explain(now);
    }

    @Override
    public boolean isRegionHeadroomExhausted() {
        return router.isRegionHeadroomExhausted();
    }
}
