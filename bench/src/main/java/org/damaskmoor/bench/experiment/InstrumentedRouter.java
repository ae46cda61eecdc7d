package org.damaskmoor.bench.experiment;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
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
 * Counts the attempts that a node sends, and makes the load reports that it hears old.
 *
 * <p>Invariant: with a delay, the router hears with each answer the youngest report of that target
 * that is as old as the delay; before there is one it hears an empty report. Not thread-safe, but
 * for the counter.
 */
final class InstrumentedRouter implements Router {
    private final Router router;
    private final long delayNanoseconds;
    private final LongAdder attempts;
    private final Map<TargetId, Deque<Heard>> reports = new HashMap<>();

    private record Heard(LoadReport report, long atNanoseconds) {}

    InstrumentedRouter(Router router, long delayNanoseconds, LongAdder attempts) {
        this.router = router;
        this.delayNanoseconds = delayNanoseconds;
        this.attempts = attempts;
    }

    private LoadReport old(TargetId target, LoadReport fresh, long now) {
        if (delayNanoseconds == 0) {
            return fresh;
        }
        Deque<Heard> heard = reports.computeIfAbsent(target, any -> new ArrayDeque<>());
        heard.addLast(new Heard(fresh, now));
        LoadReport oldEnough = LoadReport.getDefaultInstance();
        while (!heard.isEmpty() && now - heard.peekFirst().atNanoseconds() >= delayNanoseconds) {
            oldEnough = heard.removeFirst().report();
        }
        if (!oldEnough.equals(LoadReport.getDefaultInstance())) {
            heard.addFirst(new Heard(oldEnough, now - delayNanoseconds));
        }
        return oldEnough;
    }

    @Override
    public void onSent(TargetId target, long now) {
        attempts.increment();
        router.onSent(target, now);
    }

    @Override
    public void onAnswered(TargetId target, long latency, LoadReport load, long now) {
        router.onAnswered(target, latency, old(target, load, now), now);
    }

    @Override
    public void onRefused(
            TargetId target, long waited, RefusalReason reason, LoadReport load, long now) {
        router.onRefused(target, waited, reason, old(target, load, now), now);
    }

    @Override
    public void onLoadReport(TargetId target, LoadReport load, long now) {
        router.onLoadReport(target, old(target, load, now), now);
    }

    @Override
    public void updateTargets(Collection<Target> targets, long now) {
        router.updateTargets(targets, now);
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
