package org.damaskmoor.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.tenancy.RequestQuota;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.core.tenancy.TenantTable;

/**
 * Divides the limits of tenants among entries, for the tenants of which entries report to this
 * node.
 *
 * <p>Load pattern: a tenant sends 7.5 times its usual rate for 6 s through all entries or those of
 * one data centre, while nodes are cut off, killed or frozen. In any 5 s at most (rate x 5 + burst)
 * x 1.1 + 20 of its requests run, and at least 0.9 of the limit is served.
 *
 * <p>Invariants: what entries report is charged to a token bucket of the whole limit, and the sum
 * of shares pays debts of the bucket; a coordinator that reaches a part of the members divides only
 * this part of the limit; a coordinator that has just begun keeps the shares that entries report.
 * State of tenants without reports is dropped. Not thread-safe. Times are milliseconds of a
 * monotonic clock.
 */
public final class QuotaCoordinator {
    private final Map<TenantName, CoordinatorTenant> tenants = new HashMap<>();
    private final Map<TenantName, Rank> ranks = new HashMap<>();
    private final Set<TenantName> changedLimits = new HashSet<>();
    private final Reachability reachability;
    private QuotaMembers members;
    private TenantTable table = TenantTable.NOT_CONFIGURED;
    private long configurationVersion;

    private record Rank(boolean primary, List<NodeId> better) {}

    /**
     * A change of a tenant that all members are to be told.
     *
     * @param tenant the tenant
     * @param limited whether it is limited now
     * @param level requests left in the bucket of the whole limit; negative for debts
     * @param demandPerSecond requests a second, admitted and refused
     * @param members number of members that are told
     */
    public record Change(
            TenantName tenant,
            boolean limited,
            double level,
            double demandPerSecond,
            int members) {}

    /**
     * What a coordinator does at a time.
     *
     * @param changes tenants that became limited or open, or whose limit changed while limited
     * @param grants messages to other members, at most one each
     */
    public record Actions(List<Change> changes, Map<NodeId, ShareGrant> grants) {}

    /** Creates a coordinator without reports. */
    public QuotaCoordinator(QuotaMembers members) {
        this.members = members;
        this.reachability = new Reachability(members);
    }

    /** The members changed. */
    public void onMembers(QuotaMembers changed) {
        members = changed;
        ranks.clear();
        reachability.onMembers(changed);
    }

    /** Another version of the configuration is in force. */
    public void onConfiguration(long version, TenantTable changed, long now) {
        configurationVersion = version;
        table = changed;
        tenants.keySet().removeIf(name -> quota(name).isEmpty());
        for (CoordinatorTenant tenant : tenants.values()) {
            RequestQuota quota = quota(tenant.name()).orElseThrow();
            if (!quota.equals(tenant.quota())) {
                tenant.quota(quota, now);
                changedLimits.add(tenant.name());
            }
        }
    }

    private Optional<RequestQuota> quota(TenantName name) {
        return table.find(name).map(Tenant::quota).filter(RequestQuota::isLimited);
    }

    /** Handles a report; returns the acknowledgement, or empty for an answer to a probe. */
    public Optional<ShareGrant> onReport(NodeId entry, UsageReport report, long now) {
        reachability.onHeard(entry, now);
        if (report.sequence() == 0) {
            return Optional.empty();
        }
        List<TenantShare> shares = new ArrayList<>();
        for (TenantUsage usage : report.usages()) {
            quota(usage.tenant()).ifPresent(quota -> shares.add(onUsage(entry, usage, quota, now)));
        }
        return Optional.of(new ShareGrant(report.sequence(), configurationVersion, shares));
    }

    private TenantShare onUsage(NodeId entry, TenantUsage usage, RequestQuota quota, long now) {
        return tenants.computeIfAbsent(
                        usage.tenant(), name -> new CoordinatorTenant(name, quota, now))
                .onReport(entry, usage, members.size(), now);
    }

    private double reachable(TenantName name, long now) {
        Rank rank = rank(name);
        if (!rank.primary()) {
            return reachability.ofOwnDataCentre();
        }
        // Entries come to a coordinator that is not the preferred one because something failed:
        // until it has heard a node, it does not count on it.
        return rank.better().isEmpty() ? reachability.ofAll() : reachability.confirmedOfAll(now);
    }

    private Rank rank(TenantName name) {
        return ranks.computeIfAbsent(
                name, added -> new Rank(members.isPrimary(added), members.better(added)));
    }

    private boolean hasBetterCoordinator(TenantName name, long now) {
        return rank(name).better().stream().anyMatch(node -> reachability.isHeard(node, now));
    }

    /** Probes the coordinators that were preferred to this one, to know whether they are back. */
    private void watchBetterCoordinators() {
        Set<NodeId> better = new HashSet<>();
        tenants.keySet().forEach(name -> better.addAll(rank(name).better()));
        reachability.watch(better);
    }

    /** Returns what is to be done now; called several times a second. */
    public Actions advance(long now) {
        watchBetterCoordinators();
        reachability.update(now);
        List<Change> changes = new ArrayList<>();
        List<CoordinatorTenant> announced = new ArrayList<>();
        boolean probing = false;
        for (CoordinatorTenant tenant : tenants.values()) {
            boolean changed =
                    tenant.update(
                            reachable(tenant.name(), now),
                            hasBetterCoordinator(tenant.name(), now),
                            now);
            probing |= tenant.needsReachability(now) || !rank(tenant.name()).better().isEmpty();
            boolean limitChanged = tenant.isLimited() && changedLimits.contains(tenant.name());
            if (changed || limitChanged || tenant.takeRepetition(now)) {
                announced.add(tenant);
            }
            if (changed || limitChanged) {
                changes.add(
                        new Change(
                                tenant.name(),
                                tenant.isLimited(),
                                tenant.level(),
                                tenant.totalDemand(now),
                                members.size()));
            }
        }
        changedLimits.clear();
        tenants.values().removeIf(tenant -> tenant.isIdle(now));
        ranks.keySet().retainAll(tenants.keySet());
        Map<NodeId, ShareGrant> grants = new HashMap<>();
        if (probing) {
            ShareGrant probe = new ShareGrant(0, configurationVersion, List.of());
            reachability.due(now).forEach(node -> grants.put(node, probe));
        }
        if (!announced.isEmpty()) {
            members.nodes().forEach(node -> grants.put(node, announcement(announced, node, now)));
        }
        return new Actions(changes, grants);
    }

    private ShareGrant announcement(List<CoordinatorTenant> announced, NodeId node, long now) {
        List<TenantShare> shares =
                announced.stream().map(t -> t.share(node, members.size(), now)).toList();
        return new ShareGrant(0, configurationVersion, shares);
    }

    /** Number of tenants that are limited. */
    public int limitedTenants() {
        return (int) tenants.values().stream().filter(CoordinatorTenant::isLimited).count();
    }

    /** Number of tenants with state. */
    public int size() {
        return tenants.size();
    }
}
