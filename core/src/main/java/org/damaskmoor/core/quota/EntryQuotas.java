package org.damaskmoor.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.tenancy.RequestQuota;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.core.tenancy.TenantTable;

/**
 * The quotas of all tenants at one entry: decides for each request at once, without asking another
 * node, and reports to the tenants' coordinators afterwards.
 *
 * <p>Load pattern: usual demand is 62% of a limit and may come through a few entries; a tenant that
 * sends 7.5 times its usual rate is limited after about 0.4 s, and what was admitted until then is
 * its burst.
 *
 * <p>Invariants: an entry has a bounded number of admissions that no coordinator has acknowledged;
 * without any reachable coordinator it admits an equal share of the limit. State of tenants without
 * requests is dropped. Not thread-safe. Times are milliseconds of a monotonic clock.
 */
public final class EntryQuotas {
    /**
     * Time without acknowledgement after which a coordinator is left; two intervals of reports.
     * With three, a tenant that becomes hot just when its coordinator fails exceeds its bound.
     */
    static final long ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 400;

    /**
     * Time without acknowledgement after which the other candidates are asked whether they are
     * there, so that an entry does not fail over to a node that is cut off as well.
     */
    private static final long OVERDUE_MILLISECONDS = 180;

    /**
     * Time since a coordinator was heard after which announcements of other candidates count. An
     * entry without requests does not notice that its coordinator is gone.
     */
    private static final long HEARD_LIFETIME_MILLISECONDS = 500;

    /** Least time until an entry returns to a coordinator that it left. */
    static final long RETURN_DELAY_MILLISECONDS = 2000;

    private static final long PROBE_INTERVAL_MILLISECONDS = 400;

    /**
     * Time between two collections after which this node was suspended, so that acknowledgements
     * may have arrived and were not read yet.
     */
    private static final long SUSPENDED_MILLISECONDS = 500;

    /** Time without requests after which a tenant's state is dropped. */
    private static final long IDLE_LIFETIME_MILLISECONDS = 30_000;

    private static final double HASH_RANGE = 0x1.0p53;
    private static final int HASH_SHIFT = 11;

    private final Map<TenantName, EntryTenant> tenants = new HashMap<>();
    private final Map<Long, SentReport> unacknowledged = new LinkedHashMap<>();
    private final Map<NodeId, Absence> absent = new HashMap<>();
    private final Map<NodeId, Long> heardAt = new HashMap<>();
    private Set<NodeId> overdue = new HashSet<>();
    private QuotaMembers members;
    private TenantTable table = TenantTable.NOT_CONFIGURED;
    private long configurationVersion;
    private long lastSequence;
    private long membersVersion;
    private long choiceVersion;
    private long swept;
    private long collectedAt;

    private record SentReport(NodeId coordinator, UsageReport report, long sentAt) {}

    private static final class Absence {
        private final long since;
        private long probedAt;

        Absence(long since) {
            this.since = since;
            this.probedAt = since;
        }
    }

    /**
     * Creates the quotas of an entry that knows the given members.
     *
     * @param firstSequence greater than any sequence of an earlier incarnation of the entry, so
     *     that late acknowledgements to it are told apart
     */
    public EntryQuotas(QuotaMembers members, long firstSequence) {
        this.members = members;
        this.lastSequence = firstSequence;
    }

    /** The members changed. */
    public void onMembers(QuotaMembers changed) {
        members = changed;
        membersVersion++;
        choiceVersion++;
        Set<NodeId> nodes = changed.nodes().collect(Collectors.toSet());
        absent.keySet().retainAll(nodes);
        heardAt.keySet().retainAll(nodes);
    }

    /** Another version of the configuration is in force; shares follow changed limits at once. */
    public void onConfiguration(long version, TenantTable changed, long now) {
        configurationVersion = version;
        table = changed;
        tenants.entrySet().removeIf(entry -> quota(entry.getKey()).isEmpty());
        tenants.forEach(
                (name, state) -> state.quota(quota(name).orElseThrow(), members.size(), now));
    }

    private Optional<RequestQuota> quota(TenantName name) {
        return table.find(name).map(Tenant::quota).filter(RequestQuota::isLimited);
    }

    /** Decides on a request of a tenant whose quota is limited, and charges it if it may run. */
    public QuotaDecision decide(Tenant tenant, long now) {
        EntryTenant state = tenants.get(tenant.name());
        if (state == null) {
            state = create(tenant.name(), tenant.quota(), now);
        }
        chooseCoordinator(state);
        boolean suspended = now - collectedAt >= SUSPENDED_MILLISECONDS && collectedAt > 0;
        return state.decide(members.size(), suspended, overdue.contains(state.coordinator()), now);
    }

    private double phase(TenantName tenant) {
        long hash =
                StableHash.combine(
                        StableHash.of(members.self().value()), StableHash.of(tenant.value()));
        return (hash >>> HASH_SHIFT) / HASH_RANGE;
    }

    /** A request that was admitted did not run and never will. */
    public void refund(Tenant tenant) {
        EntryTenant state = tenants.get(tenant.name());
        if (state != null) {
            state.refund();
        }
    }

    /**
     * Returns the reports that are due, by coordinator; called every 0.2 s. Reports without usages
     * ask a coordinator that did not answer whether it is back.
     */
    public Map<NodeId, UsageReport> collectReports(long now) {
        if (now - collectedAt >= SUSPENDED_MILLISECONDS) {
            unacknowledged.replaceAll(
                    (sequence, sent) -> new SentReport(sent.coordinator(), sent.report(), now));
        }
        collectedAt = now;
        expireReports(now);
        Map<NodeId, List<TenantUsage>> usages = new HashMap<>();
        for (EntryTenant state : tenants.values()) {
            if (state.hasUsage()) {
                chooseCoordinator(state)
                        .ifPresent(
                                node ->
                                        usages.computeIfAbsent(node, added -> new ArrayList<>())
                                                .add(state.takeUsage(members.size(), now)));
            }
        }
        Map<NodeId, UsageReport> reports = new HashMap<>();
        usages.forEach((node, list) -> reports.put(node, createReport(node, list, now)));
        for (NodeId node : nodesToProbe(now)) {
            reports.computeIfAbsent(node, added -> createReport(node, List.of(), now));
        }
        dropIdle(now);
        return reports;
    }

    private Set<NodeId> nodesToProbe(long now) {
        Set<NodeId> nodes = new HashSet<>();
        absent.forEach(
                (node, absence) -> {
                    if (now - absence.probedAt >= PROBE_INTERVAL_MILLISECONDS) {
                        absence.probedAt = now;
                        nodes.add(node);
                    }
                });
        if (overdue.isEmpty()) {
            return nodes;
        }
        for (EntryTenant state : tenants.values()) {
            if (overdue.contains(state.coordinator())) {
                state.candidates().stream()
                        .filter(node -> !absent.containsKey(node) && !overdue.contains(node))
                        .forEach(nodes::add);
            }
        }
        return nodes;
    }

    private UsageReport createReport(NodeId node, List<TenantUsage> usages, long now) {
        lastSequence++;
        UsageReport report = new UsageReport(lastSequence, configurationVersion, usages);
        unacknowledged.put(lastSequence, new SentReport(node, report, now));
        return report;
    }

    private void expireReports(long now) {
        List<SentReport> expired = new ArrayList<>();
        for (SentReport sent : unacknowledged.values()) {
            if (now - sent.sentAt() >= ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS) {
                expired.add(sent);
            }
        }
        expired.forEach(sent -> onUnreachable(sent.coordinator(), now));
        Set<NodeId> nowOverdue = new HashSet<>();
        for (SentReport sent : unacknowledged.values()) {
            if (now - sent.sentAt() >= OVERDUE_MILLISECONDS) {
                nowOverdue.add(sent.coordinator());
            }
        }
        if (!nowOverdue.equals(overdue)) {
            overdue = nowOverdue;
            choiceVersion++;
        }
    }

    /** A coordinator can't be reached: its tenants are reported to the next one. */
    private void onUnreachable(NodeId coordinator, long now) {
        absent.computeIfAbsent(coordinator, node -> new Absence(now));
        choiceVersion++;
        unacknowledged
                .values()
                .removeIf(
                        sent -> {
                            if (!sent.coordinator().equals(coordinator)) {
                                return false;
                            }
                            restore(sent.report());
                            return true;
                        });
    }

    private void restore(UsageReport report) {
        for (TenantUsage usage : report.usages()) {
            EntryTenant state = tenants.get(usage.tenant());
            if (state != null) {
                state.restore(usage);
            }
        }
    }

    /** Chooses the first candidate that acknowledges reports, as far as is known. */
    private Optional<NodeId> chooseCoordinator(EntryTenant state) {
        if (state.membersVersion() != membersVersion) {
            state.candidates(members.candidates(state.name()), membersVersion);
        } else if (state.choiceVersion() == choiceVersion) {
            return Optional.ofNullable(state.coordinator());
        }
        List<NodeId> reachable =
                state.candidates().stream().filter(node -> !absent.containsKey(node)).toList();
        Optional<NodeId> chosen =
                reachable.stream()
                        .filter(node -> node.equals(state.coordinator()) || !overdue.contains(node))
                        .findFirst()
                        .or(() -> reachable.stream().findFirst());
        state.coordinator(chosen, choiceVersion);
        return chosen;
    }

    private boolean isFromCoordinator(EntryTenant state, NodeId from, TenantShare share, long now) {
        chooseCoordinator(state);
        if (state.coordinator() == null || state.coordinator().equals(from)) {
            return state.candidates().contains(from);
        }
        long heard = heardAt.getOrDefault(state.coordinator(), Long.MIN_VALUE / 2);
        return share.limited()
                && state.candidates().contains(from)
                && now - heard >= HEARD_LIFETIME_MILLISECONDS;
    }

    /**
     * Handles a message of a coordinator.
     *
     * @return the answer to a probe of reachability, if the grant is one
     */
    public Optional<UsageReport> onGrant(NodeId from, ShareGrant grant, long now) {
        heardAt.put(from, now);
        boolean acknowledges = grant.reportSequence() != 0;
        if (!acknowledges && grant.shares().isEmpty()) {
            return Optional.of(new UsageReport(0, configurationVersion, List.of()));
        }
        if (acknowledges && !onAcknowledged(from, grant.reportSequence(), now)) {
            return Optional.empty();
        }
        for (TenantShare share : grant.shares()) {
            EntryTenant state = stateFor(share, now);
            if (state != null && isFromCoordinator(state, from, share, now)) {
                state.onShare(share.limited(), scaled(share, grant), members.size(), now);
            }
        }
        return Optional.empty();
    }

    /** A tenant may become limited before its first request at this entry. */
    private EntryTenant stateFor(TenantShare share, long now) {
        EntryTenant known = tenants.get(share.tenant());
        Optional<RequestQuota> quota = quota(share.tenant());
        if (known != null || quota.isEmpty() || !share.limited()) {
            return known;
        }
        return create(share.tenant(), quota.get(), now);
    }

    private EntryTenant create(TenantName name, RequestQuota quota, long now) {
        List<NodeId> candidates = members.candidates(name);
        EntryTenant created = new EntryTenant(name, quota, candidates, phase(name), now);
        created.candidates(candidates, membersVersion);
        tenants.put(name, created);
        return created;
    }

    /** No share exceeds the limit in force here, which may be newer than the coordinator's. */
    private double scaled(TenantShare share, ShareGrant grant) {
        double limit = quota(share.tenant()).map(RequestQuota::requestsPerSecond).orElse(0.0);
        boolean older = grant.configurationVersion() < configurationVersion;
        return Math.min(share.perSecond(), older ? limit / members.size() : 2 * limit);
    }

    private boolean onAcknowledged(NodeId from, long sequence, long now) {
        SentReport sent = unacknowledged.get(sequence);
        if (sent == null || !sent.coordinator().equals(from)) {
            return false;
        }
        unacknowledged.remove(sequence);
        Absence absence = absent.get(from);
        if (absence != null && now - absence.since >= RETURN_DELAY_MILLISECONDS) {
            absent.remove(from);
            choiceVersion++;
        }
        for (TenantUsage usage : sent.report().usages()) {
            EntryTenant state = tenants.get(usage.tenant());
            if (state != null) {
                state.onAcknowledged(usage);
            }
        }
        return true;
    }

    private void dropIdle(long now) {
        if (now - swept >= IDLE_LIFETIME_MILLISECONDS) {
            swept = now;
            tenants.values().removeIf(state -> state.isIdle(IDLE_LIFETIME_MILLISECONDS, now));
        }
    }

    /** Number of tenants with state. */
    public int size() {
        return tenants.size();
    }
}
