package org.damaskmoor.core.accounting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.damaskmoor.core.accounting.RefusalSummary.Gap;
import org.damaskmoor.core.accounting.RefusalSummary.Line;
import org.damaskmoor.core.accounting.RefusalSummary.MissingBatches;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalGap;

/**
 * Sums refusal objects so that each refusal counts once, no matter how often it was flushed.
 *
 * <p>Invariant: of an incarnation's objects of one hour, only those that no other contains are
 * counted. Memory grows with the objects added. Not thread-safe.
 */
public final class RefusalReconciler {
    private record Owner(String node, long incarnation) {}

    private record OwnerHour(Owner owner, long epochHour) {}

    private static final Comparator<RefusalObject> BY_FIRST_THEN_LONGEST =
            Comparator.comparingLong(RefusalObject::getFirstSequence)
                    .thenComparing(
                            Comparator.comparingLong(RefusalObject::getLastSequence).reversed());

    private final long fromEpochMinute;
    private final long toEpochMinute;
    private final Map<OwnerHour, List<RefusalObject>> objects = new HashMap<>();

    /**
     * Sums the minutes from {@code fromEpochMinute} (inclusive) to {@code toEpochMinute}
     * (exclusive).
     */
    public RefusalReconciler(long fromEpochMinute, long toEpochMinute) {
        this.fromEpochMinute = fromEpochMinute;
        this.toEpochMinute = toEpochMinute;
    }

    /** Adds an object; the order does not matter. */
    public void add(RefusalObject object) {
        Owner owner = new Owner(object.getNodeId(), object.getIncarnation());
        objects.computeIfAbsent(
                        new OwnerHour(owner, object.getEpochHour()), unused -> new ArrayList<>())
                .add(object);
    }

    /** Returns the sums over all added objects. */
    public RefusalSummary summarize() {
        Map<Line.Key, long[]> totals = new HashMap<>();
        Map<Owner, SortedMap<Long, Long>> covered = new HashMap<>();
        List<Gap> gaps = new ArrayList<>();
        long folded = 0;
        for (Map.Entry<OwnerHour, List<RefusalObject>> entry : objects.entrySet()) {
            Owner owner = entry.getKey().owner();
            for (RefusalObject object : withoutContained(entry.getValue())) {
                folded += object.getFolded();
                object.getCountsList().forEach(count -> sum(totals, count));
                object.getGapsList().forEach(gap -> addGap(gaps, owner, gap));
                covered.computeIfAbsent(owner, unused -> new TreeMap<>())
                        .merge(object.getFirstSequence(), object.getLastSequence(), Math::max);
            }
        }
        return new RefusalSummary(lines(totals), gaps, missing(covered), folded);
    }

    private static List<RefusalObject> withoutContained(List<RefusalObject> sameHour) {
        List<RefusalObject> sorted = new ArrayList<>(sameHour);
        sorted.sort(BY_FIRST_THEN_LONGEST);
        List<RefusalObject> counted = new ArrayList<>();
        long coveredThrough = 0;
        for (RefusalObject object : sorted) {
            if (object.getLastSequence() > coveredThrough) {
                counted.add(object);
                coveredThrough = object.getLastSequence();
            }
        }
        return counted;
    }

    private void sum(Map<Line.Key, long[]> totals, RefusalCount count) {
        if (!isWithin(count.getEpochMinute())) {
            return;
        }
        Line.Key key = new Line.Key(count.getService(), count.getCaller(), count.getReason());
        long[] amounts = totals.computeIfAbsent(key, unused -> new long[2]);
        amounts[0] += count.getCount();
        amounts[1] += count.getWeight();
    }

    private void addGap(List<Gap> gaps, Owner owner, RefusalGap gap) {
        if (isWithin(gap.getEpochMinute())) {
            gaps.add(
                    new Gap(
                            owner.node(),
                            owner.incarnation(),
                            gap.getEpochMinute(),
                            gap.getCount()));
        }
    }

    private boolean isWithin(long epochMinute) {
        return epochMinute >= fromEpochMinute && epochMinute < toEpochMinute;
    }

    private static List<Line> lines(Map<Line.Key, long[]> totals) {
        return totals.entrySet().stream()
                .map(entry -> new Line(entry.getKey(), entry.getValue()[0], entry.getValue()[1]))
                .sorted(Comparator.comparing(Line::key))
                .toList();
    }

    private static List<MissingBatches> missing(Map<Owner, SortedMap<Long, Long>> covered) {
        List<MissingBatches> missing = new ArrayList<>();
        covered.forEach(
                (owner, intervals) -> {
                    long through = intervals.firstKey() - 1;
                    for (Map.Entry<Long, Long> interval : intervals.entrySet()) {
                        if (interval.getKey() > through + 1) {
                            missing.add(
                                    new MissingBatches(
                                            owner.node(),
                                            owner.incarnation(),
                                            through + 1,
                                            interval.getKey() - 1));
                        }
                        through = Math.max(through, interval.getValue());
                    }
                });
        return missing;
    }
}
