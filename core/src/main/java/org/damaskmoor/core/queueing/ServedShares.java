package org.damaskmoor.core.queueing;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent calls by group, such as a tenant or a kind of call, and the groups of which too few were
 * started.
 *
 * <p>Load patterns: kinds of one priority whose service times differ by a factor, such as 210 ms
 * beside 1,500 ms, in a lasting overload, where the order by objective serves the kind with the
 * short objective alone; and a tenant that sends half of the load, which turns among tenants would
 * leave with the share of a small one.
 *
 * <p>Groups are compared within one priority. The cost of a call does not grow with the number of
 * groups. Not thread-safe.
 */
final class ServedShares<G> {
    /**
     * Too few calls of a group were started below this fraction of the share of all. Callers
     * tolerate a quarter; the correction must be in effect before.
     */
    private static final double MIN_SHARE_FRACTION = 0.4;

    /** Calls by which a group may be short, because a few refusals are chance. */
    private static final double TOLERANCE_CALLS = 1;

    /** Weight of older calls for each call of the same group: half after 23 calls. */
    private static final double OWN_DECAY = 0.97;

    /** Weight of older calls for each call of the same priority: half after 140 calls. */
    private static final double RECENT_DECAY = 0.995;

    /**
     * Weight of a group's older calls for each call of the same priority. A kind that is one call
     * in 80 must be remembered from one call to the next.
     */
    private static final double FORGET_DECAY = 0.9995;

    /** Weight below which a group is forgotten: after 6,000 calls without one of the group. */
    private static final double NEGLIGIBLE_WEIGHT = 0.05;

    private static final int MAX_PRIORITIES = 64;

    private static final int MIN_GROUPS_BEFORE_REMOVAL = 64;

    private final Map<Integer, PriorityCounts<G>> byPriority = new HashMap<>();

    private static final class Counts {
        private double ended;
        private double started;
        private double recentlyStarted;
        private long decayedAt;

        private Counts(long now) {
            decayedAt = now;
        }

        private void decay(double factor) {
            ended *= factor;
            started *= factor;
        }

        /** Applies the decay of all calls since the last one; a step for each would cost more. */
        private void decayUntil(long now) {
            if (now > decayedAt) {
                decay(Math.pow(FORGET_DECAY, (double) (now - decayedAt)));
                recentlyStarted *= Math.pow(RECENT_DECAY, (double) (now - decayedAt));
                decayedAt = now;
            }
        }

        private void add(boolean wasStarted) {
            ended++;
            started += wasStarted ? 1 : 0;
            recentlyStarted += wasStarted ? 1 : 0;
        }
    }

    /** Counts of one priority; its time is the number of its calls. */
    private static final class PriorityCounts<G> {
        private final Map<G, Counts> groups = new HashMap<>();
        private final Counts total = new Counts(0);
        private long calls;
        private int groupsBeforeRemoval = MIN_GROUPS_BEFORE_REMOVAL;

        private void onDecided(G group, boolean started) {
            calls++;
            Counts own = find(group);
            if (own == null) {
                own = new Counts(calls);
                groups.put(group, own);
            }
            own.decay(OWN_DECAY);
            own.add(started);
            total.decay(RECENT_DECAY);
            total.add(started);
            if (groups.size() > groupsBeforeRemoval) {
                groups.values().forEach(counts -> counts.decayUntil(calls));
                groups.values().removeIf(counts -> counts.ended < NEGLIGIBLE_WEIGHT);
                groupsBeforeRemoval = Math.max(MIN_GROUPS_BEFORE_REMOVAL, 2 * groups.size());
            }
        }

        /** Returns the counts of a group, or null if it is forgotten. */
        private Counts find(G group) {
            Counts own = groups.get(group);
            if (own == null) {
                return null;
            }
            own.decayUntil(calls);
            return own.ended < NEGLIGIBLE_WEIGHT ? null : own;
        }
    }

    /** A call was started, or finally refused. */
    void onDecided(int priority, G group, boolean started) {
        if (byPriority.size() >= MAX_PRIORITIES && !byPriority.containsKey(priority)) {
            byPriority.clear();
        }
        byPriority
                .computeIfAbsent(priority, unused -> new PriorityCounts<>())
                .onDecided(group, started);
    }

    /** Whether too few calls of a group were started compared with all of the priority. */
    boolean isUnderserved(int priority, G group) {
        Counts own = find(priority, group);
        if (own == null) {
            return false;
        }
        Counts total = byPriority.get(priority).total;
        return (own.started + TOLERANCE_CALLS) * total.ended
                < MIN_SHARE_FRACTION * total.started * own.ended;
    }

    /** Share of a group in the calls of its priority that were started; 0 when it is unknown. */
    double shareOfStarts(int priority, G group) {
        Counts own = find(priority, group);
        return own == null
                ? 0
                : own.recentlyStarted / Math.max(1, byPriority.get(priority).total.started);
    }

    private Counts find(int priority, G group) {
        PriorityCounts<G> counts = byPriority.get(priority);
        return counts == null ? null : counts.find(group);
    }
}
