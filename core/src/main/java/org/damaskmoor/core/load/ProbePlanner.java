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
 * Decides which targets of one service to probe: those that a next request might go to and of which
 * no answer has told anything for a while.
 *
 * <pre>{@code
 * // every 100 ms:
 * for (TargetId target : planner.plan(now)) {
 *     mesh.sendLoadProbe(target);
 * }
 * }</pre>
 *
 * <p>Invariants: only targets of the own region are probed, only while this node has requests for
 * the service, and only out of the budget. Not thread-safe.
 */
public final class ProbePlanner {
    /** Probe, answer and the headers of their two packets. */
    public static final int PROBE_BYTES = 140;

    /** Silence after which a report says next to nothing about a load of milliseconds. */
    private static final long QUIET_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

    /** A service that this node has had no request for so long is not probed. */
    private static final long IN_USE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final int MOST_PROBES_AT_ONCE = 4;

    private final RegionName ownRegion;
    private final MeasurementBudget budget;
    private Map<TargetId, Silence> silences = new HashMap<>();
    private boolean everUsed;
    private long usedAtNanoseconds;

    private static final class Silence {
        private final TargetId target;
        private long sinceNanoseconds;

        Silence(TargetId target, long sinceNanoseconds) {
            this.target = target;
            this.sinceNanoseconds = sinceNanoseconds;
        }
    }

    public ProbePlanner(RegionName ownRegion, MeasurementBudget budget) {
        this.ownRegion = ownRegion;
        this.budget = budget;
    }

    /** Replaces the targets by those of a new membership snapshot. */
    public void updateTargets(Collection<Target> targets, long nowNanoseconds) {
        Map<TargetId, Silence> updated = new HashMap<>();
        for (Target target : targets) {
            if (target.takesNewWork() && target.region().equals(ownRegion)) {
                Silence known = silences.get(target.id());
                Silence silence = known == null ? unheard(target, nowNanoseconds) : known;
                updated.put(target.id(), silence);
            }
        }
        silences = updated;
    }

    /** This node has a request for the service. */
    public void onRequest(long nowNanoseconds) {
        everUsed = true;
        usedAtNanoseconds = nowNanoseconds;
    }

    /** A load report of the target came, by whatever means. */
    public void onLoadReport(TargetId target, long nowNanoseconds) {
        Silence silence = silences.get(target);
        if (silence != null) {
            silence.sinceNanoseconds = nowNanoseconds;
        }
    }

    /** The targets to probe now, silent for longest first; they count as heard of until then. */
    public List<TargetId> plan(long nowNanoseconds) {
        List<TargetId> planned = new ArrayList<>();
        if (!everUsed || nowNanoseconds - usedAtNanoseconds > IN_USE_NANOSECONDS) {
            return planned;
        }
        for (Silence silence : longestSilences(nowNanoseconds)) {
            if (!budget.trySpend(MeasurementKind.PROBE, PROBE_BYTES, nowNanoseconds)) {
                return planned;
            }
            silence.sinceNanoseconds = nowNanoseconds;
            planned.add(silence.target);
        }
        return planned;
    }

    private List<Silence> longestSilences(long now) {
        Comparator<Silence> longestFirst =
                Comparator.comparingLong(silence -> silence.sinceNanoseconds - now);
        return silences.values().stream()
                .filter(silence -> now - silence.sinceNanoseconds >= QUIET_NANOSECONDS)
                .sorted(longestFirst)
                .limit(MOST_PROBES_AT_ONCE)
                .toList();
    }

    private static Silence unheard(Target target, long now) {
        return new Silence(target.id(), now - QUIET_NANOSECONDS);
    }
}
