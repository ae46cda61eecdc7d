package org.damaskmoor.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.tenancy.RequestQuota;

/** The limit of one tenant at its coordinator. Not thread-safe. */
final class CoordinatorTenant {
    /**
     * Requests that the bucket holds beyond a small burst. The bound of a quota allows for 20;
     * without them a tenant with a limit of 5 a second at its usual demand is limited every few
     * seconds by chance alone. Large bursts need none.
     */
    private static final double EXTRA_BURST = 10;

    /** Extra requests fewer for each request of the burst. */
    private static final double EXTRA_BURST_DECREASE = 0.05;

    /** Level, as a part of the capacity, below which the tenant is limited. */
    private static final double LIMITED_BELOW = 0.5;

    /** Level above which it may be opened again. */
    private static final double OPEN_ABOVE = 0.6;

    /** Demand, as a part of the limit, below which it may be opened again. */
    private static final double OPEN_BELOW_DEMAND = 0.8;

    private static final long OPEN_AFTER_MILLISECONDS = 1000;

    /** What is missing from a full bucket, at least, before members are probed. */
    private static final double PROBE_BELOW = 0.9;

    private static final double PROBE_MARGIN = 4;

    /**
     * Demand, as a part of the limit, from which members are probed; more by some standard
     * deviations of a rate that is weighted over half a second, which matter for small limits.
     */
    private static final double PROBE_DEMAND = 0.7;

    private static final double PROBE_DEVIATIONS = 2;

    /** Level that shares aim at while the tenant is limited. */
    private static final double TARGET_LEVEL = 0.2;

    /** Time in which shares pay a debt; long against the delay of reports, which avoids swings. */
    private static final double DEBT_SECONDS = 1;

    /**
     * Greatest debt, in seconds of the limit. A window of the bound is 5 s long: what was admitted
     * before need not be paid, and a tenant is not kept from requests for longer.
     */
    private static final double MAX_DEBT_SECONDS = 2.5;

    /** Least and greatest sum of all shares, as parts of the limit. */
    private static final double MIN_SUM = 0.05;

    private static final double MAX_SUM = 1.5;

    /** Level of a new coordinator: entries that are not limited have left at least half. */
    private static final double START_LEVEL = 0.55;

    /** Requests that a new coordinator accepts at least before it limits a tenant. */
    private static final double START_MARGIN = 6;

    /**
     * Time in which a coordinator that is new, or was suspended, hears which members it reaches.
     */
    private static final long PROBE_MILLISECONDS = 300;

    private static final long HOLD_MILLISECONDS = 1000;
    private static final long SILENT_MILLISECONDS = 6000;
    private static final long IDLE_LIFETIME_MILLISECONDS = 30_000;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** Time without an update after which this node was suspended. */
    private static final long SUSPENDED_MILLISECONDS = 1000;

    /** Interval of repeated announcements to all members while the tenant is limited. */
    private static final long REPEAT_MILLISECONDS = 3000;

    private final TenantName name;
    private final Map<NodeId, EntryDemand> entries = new HashMap<>();
    private final DecayingRate total;
    private RequestQuota quota;
    private double reachable = 1;
    private double level;
    private long updatedAt;
    private long probingSince;
    private long startedAt;
    private long reportedAt;
    private long fineSince = Long.MIN_VALUE;
    private long announcedAt;
    private boolean limited;
    private boolean limitedByReport;
    private boolean hasBetterCoordinator;

    private static final class EntryDemand {
        private final DecayingRate rate;
        private long reportedAt;

        EntryDemand(long now) {
            rate = new DecayingRate(now);
            reportedAt = now;
        }
    }

    CoordinatorTenant(TenantName name, RequestQuota quota, long now) {
        this.name = name;
        this.quota = quota;
        this.total = new DecayingRate(now);
        this.level = startLevel();
        this.updatedAt = now;
        this.probingSince = now;
        this.startedAt = now;
        this.reportedAt = now;
    }

    TenantName name() {
        return name;
    }

    boolean isLimited() {
        return limited;
    }

    /**
     * Whether it must be known which members are reachable: a data centre that is cut off with its
     * coordinator would otherwise use the whole limit until the tenant is limited.
     */
    boolean needsReachability(long now) {
        double missing = reachable * capacity() - level;
        double limit = quota.requestsPerSecond();
        return limited
                || missing > Math.max(PROBE_MARGIN, (1 - PROBE_BELOW) * capacity())
                || totalDemand(now) > PROBE_DEMAND * limit + PROBE_DEVIATIONS * Math.sqrt(limit);
    }

    double level() {
        return level;
    }

    RequestQuota quota() {
        return quota;
    }

    private double capacity() {
        return quota.burst() + Math.max(0, EXTRA_BURST - EXTRA_BURST_DECREASE * quota.burst());
    }

    private double startLevel() {
        double margin = LIMITED_BELOW * capacity() + START_MARGIN;
        return reachable * Math.min(capacity(), Math.max(START_LEVEL * capacity(), margin));
    }

    private void refill(long now) {
        if (now - updatedAt >= SUSPENDED_MILLISECONDS) {
            // Others coordinated the tenant in the meantime.
            startedAt = now;
            probingSince = now;
            updatedAt = now;
            level = Math.min(level, startLevel());
        }
        double seconds = Math.max(0, now - updatedAt) / MILLISECONDS_PER_SECOND;
        updatedAt = Math.max(updatedAt, now);
        level =
                Math.min(
                        reachable * capacity(),
                        level + reachable * quota.requestsPerSecond() * seconds);
    }

    /** Charges what an entry reported, and returns the share that it gets. */
    TenantShare onReport(NodeId entry, TenantUsage usage, int members, long now) {
        if (now - reportedAt >= HOLD_MILLISECONDS && usage.limited() && !limited) {
            // Another coordinator looked after the tenant in the meantime.
            startedAt = now;
        }
        boolean holding = isHolding(now);
        reportedAt = now;
        refill(now);
        charge(usage.admitted());
        EntryDemand demand = entries.computeIfAbsent(entry, added -> new EntryDemand(now));
        demand.reportedAt = now;
        int requests = Math.max(0, usage.admitted()) + usage.refused();
        demand.rate.add(requests, now);
        total.add(requests, now);
        if (holding && usage.limited()) {
            if (!limited) {
                limited = true;
                level = Math.min(level, 0);
                fineSince = Long.MIN_VALUE;
            }
            return new TenantShare(name, true, usage.sharePerSecond());
        }
        if (!limited) {
            limitedByReport = updateOpen();
        }
        return share(entry, members, now);
    }

    private void charge(double requests) {
        double least = -MAX_DEBT_SECONDS * reachable * quota.requestsPerSecond();
        level = Math.min(Math.max(level - requests, least), reachable * capacity());
    }

    /** Whether all members are to be told again that the tenant is limited. */
    boolean takeRepetition(long now) {
        boolean due = limited && !isHolding(now) && now - announcedAt >= REPEAT_MILLISECONDS;
        if (due) {
            announcedAt = now;
        }
        return due;
    }

    private boolean isHolding(long now) {
        return now - startedAt < HOLD_MILLISECONDS;
    }

    /** Returns the share of an entry. */
    TenantShare share(NodeId entry, int members, long now) {
        double all = totalDemand(now);
        EntryDemand own = entries.get(entry);
        double part = own == null || all <= 0 ? 0 : own.rate.perSecond(now) / all;
        double equal = EntryTenant.EQUAL_PART / members;
        double perSecond = sumOfShares(members) * (equal + (1 - EntryTenant.EQUAL_PART) * part);
        return new TenantShare(name, limited, perSecond);
    }

    /** Sum of all shares: the limit, less what pays debts, plus what was left over. */
    private double sumOfShares(int members) {
        // Beside a coordinator that all others use, the entries that can't reach it get equal
        // shares. Otherwise one broken link would double the limit.
        double part = hasBetterCoordinator ? entries.size() / (double) members : 1;
        double limit = Math.min(reachable, part) * quota.requestsPerSecond();
        double correction = (level - TARGET_LEVEL * reachable * capacity()) / DEBT_SECONDS;
        return Math.max(MIN_SUM * limit, Math.min(MAX_SUM * limit, limit + correction));
    }

    double totalDemand(long now) {
        return total.perSecond(now);
    }

    /** Returns whether the tenant became limited, or is open again. */
    boolean update(double nowReachable, boolean nowHasBetterCoordinator, long now) {
        refill(now);
        hasBetterCoordinator = nowHasBetterCoordinator;
        if (now - probingSince >= PROBE_MILLISECONDS) {
            charge(Math.max(0, reachable - nowReachable) * capacity());
            reachable = nowReachable;
        }
        entries.values().removeIf(demand -> now - demand.reportedAt >= SILENT_MILLISECONDS);
        boolean changed = limited ? updateLimited(now) : updateOpen();
        changed |= limitedByReport;
        limitedByReport = false;
        if (changed) {
            announcedAt = now;
        }
        return changed;
    }

    private boolean updateOpen() {
        limited = level < LIMITED_BELOW * reachable * capacity();
        fineSince = Long.MIN_VALUE;
        return limited;
    }

    private boolean updateLimited(long now) {
        double limit = reachable * quota.requestsPerSecond();
        boolean fine =
                level > OPEN_ABOVE * reachable * capacity()
                        && totalDemand(now) < OPEN_BELOW_DEMAND * limit;
        if (!fine) {
            fineSince = Long.MIN_VALUE;
        } else if (fineSince == Long.MIN_VALUE) {
            fineSince = now;
        }
        limited = !fine || now - fineSince < OPEN_AFTER_MILLISECONDS;
        return !limited;
    }

    void quota(RequestQuota changed, long now) {
        refill(now);
        quota = changed;
        level = Math.min(level, reachable * capacity());
    }

    boolean isIdle(long now) {
        return !limited && now - reportedAt >= IDLE_LIFETIME_MILLISECONDS;
    }
}
