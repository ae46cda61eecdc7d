package org.damaskmoor.core.quota;

import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.tenancy.RequestQuota;

/**
 * One tenant at one entry: its counts and its local token bucket. Not thread-safe.
 *
 * <p>A share is lowered in step with the entry's own demand between two grants. Otherwise entries
 * that see a request every few seconds keep shares that their coordinator has already given to
 * others, and the sum of all shares is several times the limit.
 */
final class EntryTenant {
    /** Part of the limit that is divided equally, whatever the demand. */
    static final double EQUAL_PART = 0.1;

    /** Longest time that a refused caller is told to wait. */
    static final long MAX_RETRY_AFTER_MILLISECONDS = 3000;

    private static final double MIN_UNACKNOWLEDGED = 2;

    /** Part of the unacknowledged admissions that remains while a coordinator is late to answer. */
    private static final double OVERDUE_PART = 0.35;

    /** Multiple of the burst that all entries together may have unacknowledged. */
    private static final double UNACKNOWLEDGED_BURSTS = 1;

    /**
     * Equal share that may be saved up while the tenant is not limited. All entries together hold
     * the limit of this time beside what they may have unacknowledged.
     */
    private static final double EQUAL_BURST_SECONDS = 0.2;

    /** Share that may be saved up while the tenant is limited, for uneven arrivals. */
    private static final double BURST_SECONDS = 0.5;

    /** Time without a grant after which a share is too old to exceed the equal share. */
    private static final long SHARE_LIFETIME_MILLISECONDS = 2000;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    /**
     * Time without a grant after which an entry no longer takes the tenant for limited. A
     * coordinator repeats its announcements more often, so this entry has missed one that the
     * tenant is open again.
     */
    private static final long LIMITED_LIFETIME_MILLISECONDS = 7000;

    /** Spreads values evenly over an interval, however many there are. */
    private static final double GOLDEN_RATIO = 0.618033988749895;

    private final TenantName tenant;
    private final DecayingRate demand;
    private RequestQuota quota;
    private List<NodeId> candidates;
    private NodeId coordinator;
    private long membersVersion;
    private long choiceVersion = -1;
    private boolean limited;
    private boolean isolated;
    private double share;
    private double demandAtGrant;
    private long grantedAt;
    private double tokens;
    private long accruedAt;
    private double lastPromiseAt;
    private double spread;
    private int admitted;
    private int refused;
    private int unacknowledgedInReports;
    private long usedAt;

    /**
     * Creates a tenant that is open.
     *
     * @param phase number from 0 to 1, different at each entry: the part of a token that it starts
     *     with, so that entries whose shares are far below one request a second don't all wait for
     *     their first token
     */
    EntryTenant(
            TenantName tenant,
            RequestQuota quota,
            List<NodeId> candidates,
            double phase,
            long now) {
        this.tenant = tenant;
        this.quota = quota;
        this.candidates = candidates;
        this.demand = new DecayingRate(now);
        this.tokens = phase;
        this.spread = phase;
        this.accruedAt = now;
        this.grantedAt = now;
        this.usedAt = now;
    }

    QuotaDecision decide(int members, boolean suspended, boolean overdue, long now) {
        usedAt = now;
        accrue(members, now);
        limited &= now - grantedAt < LIMITED_LIFETIME_MILLISECONDS;
        demand.add(1, now);
        QuotaDecision decision =
                isOpen() && !suspended
                        ? decideOpen(members, overdue, now)
                        : decideByShare(members, now);
        if (decision.admitted()) {
            admitted++;
        } else {
            refused++;
        }
        return decision;
    }

    private boolean isOpen() {
        return !limited && !isolated;
    }

    private QuotaDecision decideOpen(int members, boolean overdue, long now) {
        return Math.max(0, admitted) + unacknowledgedInReports < maxUnacknowledged(members, overdue)
                ? QuotaDecision.admit(QuotaDecision.State.OPEN, 0, now - grantedAt)
                : decideByShare(members, now);
    }

    /** By demand, so that a tenant whose callers all use one entry is not refused. */
    private double maxUnacknowledged(int members, boolean overdue) {
        double part = Math.max(1.0 / members, share / quota.requestsPerSecond());
        double most = Math.max(MIN_UNACKNOWLEDGED, UNACKNOWLEDGED_BURSTS * quota.burst() * part);
        return overdue ? most * OVERDUE_PART : most;
    }

    private QuotaDecision decideByShare(int members, long now) {
        double rate = currentShare(members, now);
        if (tokens >= 1) {
            tokens--;
            return QuotaDecision.admit(state(), rate, now - grantedAt);
        }
        return QuotaDecision.refuse(state(), rate, now - grantedAt, promise(rate, now));
    }

    private QuotaDecision.State state() {
        if (isolated) {
            return QuotaDecision.State.ISOLATED;
        }
        return limited ? QuotaDecision.State.LIMITED : QuotaDecision.State.OPEN;
    }

    /** Returns the time until the next token that was not promised to another caller. */
    private long promise(double rate, long now) {
        double interval = MILLISECONDS_PER_SECOND / rate;
        double next = Math.max(now + (1 - tokens) * interval, lastPromiseAt + interval);
        if (next - now > MAX_RETRY_AFTER_MILLISECONDS) {
            // No credit here in time that isn't promised: other entries may have some by then.
            spread = (spread + GOLDEN_RATIO) % 1;
            return Math.round(MAX_RETRY_AFTER_MILLISECONDS * (1 + spread) / 2);
        }
        lastPromiseAt = next;
        return Math.max(1, (long) Math.ceil(next - now));
    }

    /** Share of this entry at a time, in requests a second. */
    double currentShare(int members, long now) {
        double equal = quota.requestsPerSecond() / members;
        if (isOpen() || isolated) {
            return equal;
        }
        double floor = Math.min(share, EQUAL_PART * equal);
        double ratio = demandAtGrant > 0 ? Math.min(1, demand.perSecond(now) / demandAtGrant) : 1;
        double current = floor + (share - floor) * ratio;
        return now - grantedAt > SHARE_LIFETIME_MILLISECONDS ? Math.min(current, equal) : current;
    }

    private void accrue(int members, long now) {
        double seconds = Math.max(0, now - accruedAt) / MILLISECONDS_PER_SECOND;
        accruedAt = Math.max(accruedAt, now);
        double equal = quota.requestsPerSecond() / members;
        if (limited && !isolated) {
            tokens += accruedShare(equal, seconds, now);
            tokens = Math.min(tokens, Math.max(1, share * BURST_SECONDS));
            return;
        }
        tokens += equal * seconds;
        // Whole tokens expire, so that all entries together never hold more than the limit of this
        // time, and the phase of an entry stays.
        double cap = 1 + equal * EQUAL_BURST_SECONDS;
        if (tokens >= cap) {
            tokens -= Math.ceil(tokens - cap + Double.MIN_NORMAL);
        }
    }

    /** Integral of the share over the time since it was last accrued. */
    private double accruedShare(double equal, double seconds, long now) {
        double floor = Math.min(share, EQUAL_PART * equal);
        if (now - grantedAt > SHARE_LIFETIME_MILLISECONDS && share > equal) {
            return equal * seconds;
        }
        if (demandAtGrant <= 0) {
            return share * seconds;
        }
        double constant = DecayingRate.TIME_CONSTANT_MILLISECONDS / MILLISECONDS_PER_SECOND;
        double ratioAtEnd = demand.perSecond(now) / demandAtGrant;
        double ratioAtStart = ratioAtEnd * Math.exp(seconds / constant);
        double full = 0;
        if (ratioAtStart > 1) {
            full = Math.min(seconds, constant * Math.log(ratioAtStart));
        }
        double decaying = constant * (Math.min(1, ratioAtStart) - Math.min(1, ratioAtEnd));
        return floor * seconds + (share - floor) * (full + Math.max(0, decaying));
    }

    /** The request did not run. */
    void refund() {
        admitted--;
    }

    void onShare(boolean nowLimited, double perSecond, int members, long now) {
        accrue(members, now);
        limited = nowLimited;
        share = perSecond;
        demandAtGrant = demand.perSecond(now);
        grantedAt = now;
    }

    /** A report was acknowledged. */
    void onAcknowledged(TenantUsage usage) {
        unacknowledgedInReports =
                Math.max(0, unacknowledgedInReports - Math.max(0, usage.admitted()));
    }

    /** A report was lost with its coordinator; what it told is reported to the next one. */
    void restore(TenantUsage usage) {
        onAcknowledged(usage);
        admitted += usage.admitted();
        refused += usage.refused();
    }

    /** Takes what is to be reported; the admissions remain unacknowledged. */
    TenantUsage takeUsage(int members, long now) {
        double reported = limited ? currentShare(members, now) : share;
        TenantUsage usage = new TenantUsage(tenant, admitted, refused, limited, reported);
        unacknowledgedInReports += Math.max(0, admitted);
        admitted = 0;
        refused = 0;
        return usage;
    }

    boolean hasUsage() {
        return admitted != 0 || refused != 0;
    }

    void quota(RequestQuota changed, int members, long now) {
        if (changed.equals(quota)) {
            return;
        }
        accrue(members, now);
        share *= changed.requestsPerSecond() / quota.requestsPerSecond();
        quota = changed;
    }

    boolean isIdle(long lifetimeMilliseconds, long now) {
        return !hasUsage() && now - usedAt >= lifetimeMilliseconds;
    }

    List<NodeId> candidates() {
        return candidates;
    }

    /** The coordinator that was chosen last; null if there is none. */
    NodeId coordinator() {
        return coordinator;
    }

    void coordinator(Optional<NodeId> chosen, long version) {
        choiceVersion = version;
        coordinator = chosen.orElse(null);
        isolated = chosen.isEmpty();
    }

    void candidates(List<NodeId> changed, long version) {
        candidates = changed;
        membersVersion = version;
    }

    /** Version of the members from which the candidates were computed. */
    long membersVersion() {
        return membersVersion;
    }

    /** Version of what was known of candidates when the coordinator was chosen. */
    long choiceVersion() {
        return choiceVersion;
    }

    TenantName name() {
        return tenant;
    }
}
