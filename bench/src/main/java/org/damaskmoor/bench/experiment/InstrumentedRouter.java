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
 * Counts the attempts that a node sends, and delays the load reports that it receives.
 *
 * <p>Invariant: with a delay, the wrapped router gets with each answer the newest report of that
 * target that is at least as old as the delay, or an empty report while there is none. Not
 * thread-safe, except for the counter.
 */
final class InstrumentedRouter implements Router {
    private final Router delegate;
    private final long delayNanoseconds;
    private final LongAdder attempts;
    private final Map<TargetId, Deque<ReceivedReport>> reports = new HashMap<>();

    private record ReceivedReport(LoadReport report, long receivedAtNanoseconds) {}

    InstrumentedRouter(Router delegate, long delayNanoseconds, LongAdder attempts) {
        this.delegate = delegate;
        this.delayNanoseconds = delayNanoseconds;
        this.attempts = attempts;
    }

    private LoadReport delayed(TargetId target, LoadReport newReport, long now) {
        if (delayNanoseconds == 0) {
            return newReport;
        }
        Deque<ReceivedReport> received = reports.computeIfAbsent(target, id -> new ArrayDeque<>());
        received.addLast(new ReceivedReport(newReport, now));
        LoadReport newestDelayed = LoadReport.getDefaultInstance();
        while (!received.isEmpty()
                && now - received.peekFirst().receivedAtNanoseconds() >= delayNanoseconds) {
            newestDelayed = received.removeFirst().report();
        }
        if (!newestDelayed.equals(LoadReport.getDefaultInstance())) {
            received.addFirst(new ReceivedReport(newestDelayed, now - delayNanoseconds));
        }
        return newestDelayed;
    }

    @Override
    public void onSent(TargetId target, long now) {
        attempts.increment();
        delegate.onSent(target, now);
    }

    @Override
    public void onAnswered(TargetId target, long latency, LoadReport load, long now) {
        delegate.onAnswered(target, latency, delayed(target, load, now), now);
    }

    @Override
    public void onRefused(
            TargetId target, long waited, RefusalReason reason, LoadReport load, long now) {
        delegate.onRefused(target, waited, reason, delayed(target, load, now), now);
    }

    @Override
    public void onLoadReport(TargetId target, LoadReport load, long now) {
        delegate.onLoadReport(target, delayed(target, load, now), now);
    }

    @Override
    public void updateTargets(Collection<Target> targets, long now) {
        delegate.updateTargets(targets, now);
    }

    @Override
    public Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long now) {
        return delegate.choose(request, excluded, now);
    }

    @Override
    public Optional<Choice> chooseForKey(
            String key, KeyScope scope, Set<NodeId> excluded, long now) {
        return delegate.chooseForKey(key, scope, excluded, now);
    }

    @Override
    public void onFailed(TargetId target, long waited, long now) {
        delegate.onFailed(target, waited, now);
    }

    @Override
    public void onAbandoned(TargetId target, long waited, long now) {
        delegate.onAbandoned(target, waited, now);
    }

    @Override
    public void onRegionSummary(RegionSummary summary, long now) {
        delegate.onRegionSummary(summary, now);
    }

    @Override
    public void onUnreachable(TargetId target, long now) {
        delegate.onUnreachable(target, now);
    }

    @Override
    public List<CandidateEstimate> explain(long now) {
        return delegate.explain(now);
    }

    @Override
    public boolean isRegionHeadroomExhausted() {
        return delegate.isRegionHeadroomExhausted();
    }
}
