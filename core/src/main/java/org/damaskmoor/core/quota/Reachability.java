package org.damaskmoor.core.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;

/**
 * Estimates which part of the members a coordinator reaches, from probes to a sample of them.
 *
 * <p>The state of links does not tell: a link without calls is not checked, and a partition drops
 * packets silently. The sample bounds the cost in large fleets; it is chosen by hash, so that it is
 * spread over all data centres. Not thread-safe.
 */
final class Reachability {
    /** Members that are probed; gives the reachable part with a standard error below 9%. */
    private static final int SAMPLE_SIZE = 32;

    private static final long PROBE_INTERVAL_MILLISECONDS = 200;

    /** Several round trips between regions, and less than the time until entries fail over. */
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 350;

    /**
     * Time between two updates after which this node was suspended, so that answers may have
     * arrived and were not read yet.
     */
    private static final long SUSPENDED_MILLISECONDS = 300;

    /** Time for which a node that was heard counts as reachable without another answer. */
    private static final long HEARD_LIFETIME_MILLISECONDS = 1200;

    private final Map<NodeId, Probe> probes = new HashMap<>();
    private final Map<NodeId, Probe> watched = new HashMap<>();
    private QuotaMembers members;
    private long probedAt;
    private long updatedAt;

    private static final class Probe {
        private long unansweredSince = Long.MIN_VALUE;
        private boolean unreachable;
        private long heardAt = Long.MIN_VALUE / 2;

        private boolean isConfirmed(long now) {
            return !unreachable && now - heardAt < HEARD_LIFETIME_MILLISECONDS;
        }
    }

    Reachability(QuotaMembers members) {
        onMembers(members);
    }

    final void onMembers(QuotaMembers changed) {
        members = changed;
        long selfHash = StableHash.of(changed.self().value());
        List<NodeId> sample =
                changed.nodes()
                        .filter(node -> !node.equals(changed.self()))
                        .sorted(
                                Comparator.comparingLong(
                                        node ->
                                                StableHash.combine(
                                                        selfHash, StableHash.of(node.value()))))
                        .limit(SAMPLE_SIZE)
                        .toList();
        probes.keySet().retainAll(sample);
        sample.forEach(node -> probes.computeIfAbsent(node, added -> new Probe()));
    }

    /** Returns the members to probe now. */
    List<NodeId> due(long now) {
        if (now - probedAt < PROBE_INTERVAL_MILLISECONDS) {
            return List.of();
        }
        probedAt = now;
        all().filter(probe -> probe.unansweredSince == Long.MIN_VALUE)
                .forEach(probe -> probe.unansweredSince = now);
        Set<NodeId> nodes = new HashSet<>(probes.keySet());
        nodes.addAll(watched.keySet());
        return List.copyOf(nodes);
    }

    private Stream<Probe> all() {
        return Stream.concat(probes.values().stream(), watched.values().stream());
    }

    /** Probes exactly these nodes too, whether they are in the sample or not. */
    void watch(Collection<NodeId> nodes) {
        watched.keySet().retainAll(nodes);
        nodes.forEach(node -> watched.computeIfAbsent(node, added -> new Probe()));
    }

    /** Whether a node that is watched has answered a probe, and answers still. */
    boolean isHeard(NodeId node, long now) {
        Probe probe = watched.get(node);
        return probe != null && probe.isConfirmed(now);
    }

    void onHeard(NodeId node, long now) {
        onHeard(probes.get(node), now);
        onHeard(watched.get(node), now);
    }

    private static void onHeard(Probe probe, long now) {
        if (probe != null) {
            probe.unansweredSince = Long.MIN_VALUE;
            probe.unreachable = false;
            probe.heardAt = now;
        }
    }

    void update(long now) {
        if (now - updatedAt >= SUSPENDED_MILLISECONDS) {
            all().forEach(probe -> probe.unansweredSince = Long.MIN_VALUE);
        }
        updatedAt = now;
        all().filter(
                        probe ->
                                probe.unansweredSince != Long.MIN_VALUE
                                        && now - probe.unansweredSince
                                                >= ANSWER_TIMEOUT_MILLISECONDS)
                .forEach(probe -> probe.unreachable = true);
    }

    /** Part of all members that is reachable as far as is known, including this node. */
    double ofAll() {
        return ofAll(probe -> !probe.unreachable);
    }

    /** Part of all members that was heard recently, including this node. */
    double confirmedOfAll(long now) {
        return ofAll(probe -> probe.isConfirmed(now));
    }

    private double ofAll(Predicate<Probe> isReachable) {
        long others = members.size() - 1L;
        if (others == 0) {
            return 1;
        }
        long reachable = probes.values().stream().filter(isReachable).count();
        return (1 + others * (double) reachable / probes.size()) / members.size();
    }

    /** Part of all members that is in this node's data centre and reachable. */
    double ofOwnDataCentre() {
        List<NodeId> own = members.nodesInDataCentre().toList();
        long unreachable =
                own.stream()
                        .filter(node -> probes.containsKey(node) && probes.get(node).unreachable)
                        .count();
        return (own.size() - unreachable) / (double) members.size();
    }
}
