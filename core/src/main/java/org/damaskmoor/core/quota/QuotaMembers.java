package org.damaskmoor.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TenantName;

/**
 * The nodes among which limits are divided, and the order in which they coordinate a tenant.
 *
 * <p>The candidates of a tenant are the first three nodes in rendezvous order, the same at all
 * entries, followed by the first node of the entry's own data centre. Without the last one, entries
 * of a data centre that is cut off have no coordinator for four tenants in ten (three quarters to
 * the third power), and most requests of small tenants are refused there.
 *
 * <p>Tenants are divided into groups that share their candidates. Otherwise there are as many
 * coordinators as tenants or members, and each of them probes the members on its own.
 *
 * <p>Immutable and thread-safe. Computing candidates takes time linear in the number of members.
 */
public final class QuotaMembers {
    private static final int PRIMARY_CANDIDATES = 3;

    /** Least number of groups of tenants. */
    private static final int MIN_GROUPS = 8;

    /** Members for each group, so that no member coordinates for a large part of all requests. */
    private static final int MEMBERS_PER_GROUP = 8;

    private final NodeId self;
    private final DataCentreName dataCentre;
    private final List<Ranked> members;

    /** A node and its data centre. */
    public record Member(NodeId node, DataCentreName dataCentre) {}

    private record Ranked(Member member, long hash) {}

    /**
     * Creates the members as one of them sees them.
     *
     * @param self this node, which must be among the members
     * @param members all members
     */
    public QuotaMembers(NodeId self, Collection<Member> members) {
        this.self = self;
        this.members =
                members.stream()
                        .map(m -> new Ranked(m, StableHash.of(m.node().value())))
                        .sorted(Comparator.comparing(ranked -> ranked.member().node()))
                        .toList();
        this.dataCentre =
                members.stream()
                        .filter(member -> member.node().equals(self))
                        .findFirst()
                        .orElseThrow()
                        .dataCentre();
    }

    /** This node. */
    public NodeId self() {
        return self;
    }

    /** Number of members, including this node. */
    public int size() {
        return members.size();
    }

    /** All members in the order of their ids. */
    public Stream<NodeId> nodes() {
        return members.stream().map(ranked -> ranked.member().node());
    }

    /** The members of this node's data centre. */
    public Stream<NodeId> nodesInDataCentre() {
        return members.stream()
                .filter(ranked -> ranked.member().dataCentre().equals(dataCentre))
                .map(ranked -> ranked.member().node());
    }

    /** The candidates of a tenant, the preferred one first. */
    public List<NodeId> candidates(TenantName tenant) {
        long groupHash = StableHash.of("group " + group(tenant));
        List<Scored> first = new ArrayList<>();
        Scored local = null;
        for (Ranked ranked : members) {
            Scored scored =
                    new Scored(
                            ranked.member().node(), StableHash.combine(groupHash, ranked.hash()));
            if (ranked.member().dataCentre().equals(dataCentre)
                    && (local == null || scored.score() < local.score())) {
                local = scored;
            }
            if (first.size() < PRIMARY_CANDIDATES
                    || scored.score() < first.get(PRIMARY_CANDIDATES - 1).score()) {
                first.add(scored);
                first.sort(Comparator.comparingLong(Scored::score));
                if (first.size() > PRIMARY_CANDIDATES) {
                    first.remove(PRIMARY_CANDIDATES);
                }
            }
        }
        if (!first.contains(local)) {
            first.add(local);
        }
        return first.stream().map(Scored::node).toList();
    }

    /** A power of two of groups, so that single members that come or go don't change them. */
    private long group(TenantName tenant) {
        int groups =
                Integer.highestOneBit(Math.max(MIN_GROUPS, members.size() / MEMBERS_PER_GROUP));
        return StableHash.of(tenant.value()) & (groups - 1);
    }

    /** Whether this node is a candidate for all entries, not only for those of its data centre. */
    boolean isPrimary(TenantName tenant) {
        return candidates(tenant).stream().limit(PRIMARY_CANDIDATES).anyMatch(self::equals);
    }

    /** The candidates that all entries prefer to this node. */
    List<NodeId> better(TenantName tenant) {
        return candidates(tenant).stream()
                .limit(PRIMARY_CANDIDATES)
                .takeWhile(node -> !node.equals(self))
                .toList();
    }

    private record Scored(NodeId node, long score) {}
}
