package org.damaskmoor.core.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.Target;

/**
 * Decides which targets of one service to probe: those that may receive requests and have not
 * reported their load for a while.
 *
 * <pre>{@code
 * // every 100 ms:
 * for (TargetId target : planner.plan(now)) {
 *     mesh.sendLoadProbe(target);
 * }
 * }</pre>
 *
 * <p>Invariants: only targets of the local region are probed, only while this node has requests for
 * the service, and only within the budget. Not thread-safe.
 */
public final class ProbePlanner {
    /** Size of a probe and its answer, including the headers of both packets. */
    public static final int PROBE_BYTES = 140;

    /** Age after which a load report is outdated, because load changes within milliseconds. */
    private static final long STALE_AFTER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

    /** A service without a request at this node for longer than this is not probed. */
    private static final long IN_USE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_PROBES_PER_PLAN = 4;

    private final RegionName ownRegion;
    private final MeasurementBudget budget;
    private Map<TargetId, LastReport> lastReports = new HashMap<>();
    private boolean everUsed;
    private long usedAtNanoseconds;

    private static final class LastReport {
        private final TargetId target;
        private long atNanoseconds;

        LastReport(TargetId target, long atNanoseconds) {
            this.target = target;
            this.atNanoseconds = atNanoseconds;
        }
    }

    public ProbePlanner(RegionName ownRegion, MeasurementBudget budget) {
        this.ownRegion = ownRegion;
        this.budget = budget;
    }

    /** Replaces the targets by those of a new membership snapshot. */
    public void updateTargets(Collection<Target> targets, long nowNanoseconds) {
        Map<TargetId, LastReport> updated = new HashMap<>();
        for (Target target : targets) {
            if (target.takesNewWork() && target.region().equals(ownRegion)) {
                LastReport known = lastReports.get(target.id());
                LastReport lastReport =
                        known == null ? alreadyStale(target, nowNanoseconds) : known;
                updated.put(target.id(), lastReport);
            }
        }
        lastReports = updated;
    }

    /** Called when this node receives a request for the service. */
    public void onRequest(long nowNanoseconds) {
        everUsed = true;
        usedAtNanoseconds = nowNanoseconds;
    }

    /** Called when a load report of the target arrived, by any means. */
    public void onLoadReport(TargetId target, long nowNanoseconds) {
        LastReport lastReport = lastReports.get(target);
        if (lastReport != null) {
            lastReport.atNanoseconds = nowNanoseconds;
        }
    }

    /**
     * Returns the targets to probe now, those with the oldest reports first. Planning a probe
     * counts as a report from its target.
     */
    public List<TargetId> plan(long nowNanoseconds) {
        List<TargetId> planned = new ArrayList<>();
        if (!everUsed || nowNanoseconds - usedAtNanoseconds > IN_USE_NANOSECONDS) {
            return planned;
        }
        for (LastReport lastReport : oldestReports(nowNanoseconds)) {
            if (!budget.trySpend(MeasurementKind.PROBE, PROBE_BYTES, nowNanoseconds)) {
                return planned;
            }
            lastReport.atNanoseconds = nowNanoseconds;
            planned.add(lastReport.target);
        }
        return planned;
    }

    private List<LastReport> oldestReports(long now) {
        Comparator<LastReport> oldestFirst =
                Comparator.comparingLong(lastReport -> lastReport.atNanoseconds - now);
        return lastReports.values().stream()
                .filter(lastReport -> now - lastReport.atNanoseconds >= STALE_AFTER_NANOSECONDS)
                .sorted(oldestFirst)
                .limit(MAX_PROBES_PER_PLAN)
                .toList();
    }

    private static LastReport alreadyStale(Target target, long now) {
        return new LastReport(target.id(), now - STALE_AFTER_NANOSECONDS);
    }
}
