package org.damaskmoor.relay.internal.quota;

import java.util.Optional;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.quota.EntryQuotas;
import org.damaskmoor.core.quota.QuotaCoordinator;
import org.damaskmoor.core.quota.QuotaDecision;
import org.damaskmoor.core.quota.QuotaMembers;
import org.damaskmoor.core.quota.ShareGrant;
import org.damaskmoor.core.quota.UsageReport;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.core.tenancy.TenantTable;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.entry.RequestQuotas;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;

/**
 * The quotas of tenants at a node, which is an entry and may be the coordinator of some tenants.
 *
 * <p>An acknowledgement travels over the link on which the report came, so that it also shows that
 * the link works. Without limited tenants in the configuration nothing is sent. Confined to the
 * event loop.
 */
public final class NodeQuotas implements RequestQuotas {
    /** Interval of reports: short against the time in which a tenant uses up its burst. */
    private static final long INTERVAL_MILLISECONDS = 200;

    /**
     * Sequences that an incarnation may use until the next one, which starts a millisecond later.
     */
    private static final int SEQUENCE_BITS = 10;

    /** Retry-After of a node that does not know yet how many nodes share a limit. */
    private static final long UNKNOWN_MEMBERS_RETRY_AFTER_MILLISECONDS = 500;

    private static final String REASON = "quota";

    /** Answered with 503, not 429: whether the tenant has used up its quota is not known. */
    private static final String UNKNOWN_MEMBERS_REASON = "quota-members-unknown";

    private static final double ROUNDING = 100;

    private final NodeId self;
    private final Incarnation incarnation;
    private final FleetDirectory fleet;
    private final Timers timers;
    private final EventLog log;
    private final RelayMetrics metrics;
    private EntryQuotas entry;
    private QuotaCoordinator coordinator;
    private TenantTable table = TenantTable.NOT_CONFIGURED;
    private long version;
    private long knownDigest;
    private boolean limiting;

    public NodeQuotas(
            NodeId self,
            Incarnation incarnation,
            FleetDirectory fleet,
            Timers timers,
            EventLog log,
            RelayMetrics metrics) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
        metrics.gauge("quota-tenants", () -> entry == null ? 0 : entry.size());
        metrics.gauge(
                "quota-limited", () -> coordinator == null ? 0 : coordinator.limitedTenants());
    }

    /** Starts to exchange reports and grants. */
    public void start() {
        timers.repeat(INTERVAL_MILLISECONDS, this::advance);
    }

    /** Another version of the configuration is in force. */
    public void onConfiguration(RouteTable routes) {
        version = routes.version();
        table = routes.tenants();
        limiting = table.hasQuotas();
        if (entry != null) {
            applyConfiguration();
        }
    }

    private void applyConfiguration() {
        entry.onConfiguration(version, table, timers.now());
        coordinator.onConfiguration(version, table, timers.now());
    }

    @Override
    public Optional<CallerReply> charge(CallerRequest request, Tenant tenant) {
        if (!knowsMembers()) {
            logRefusal(request, UNKNOWN_MEMBERS_REASON);
            return Optional.of(
                    CallerReply.notRun(
                            UNKNOWN_MEMBERS_REASON, UNKNOWN_MEMBERS_RETRY_AFTER_MILLISECONDS));
        }
        QuotaDecision decision = entry.decide(tenant, timers.now());
        if (decision.admitted()) {
            return Optional.empty();
        }
        metrics.count("quota-refused", decision.state().name());
        log.event("quota-exceeded")
                .with("request", request.id())
                .with("tenant", tenant.name())
                .with("state", decision.state())
                .with("share_per_s", rounded(decision.sharePerSecond()))
                .with("share_age_ms", decision.shareAgeMilliseconds())
                .with("limit_per_s", tenant.quota().requestsPerSecond())
                .with("retry_after_ms", decision.retryAfterMilliseconds())
                .write();
        logRefusal(request, REASON);
        return Optional.of(CallerReply.tooManyRequests(REASON, decision.retryAfterMilliseconds()));
    }

    private void logRefusal(CallerRequest request, String reason) {
        metrics.count("refused", reason);
        log.event("request-refused").with("request", request.id()).with("reason", reason).write();
    }

    @Override
    public void refund(Tenant tenant) {
        metrics.count("quota-refunded");
        if (entry != null) {
            entry.refund(tenant);
        }
    }

    private void advance() {
        if (!limiting || !knowsMembers()) {
            return;
        }
        long now = timers.now();
        entry.collectReports(now).forEach(this::sendReport);
        QuotaCoordinator.Actions actions = coordinator.advance(now);
        actions.changes().forEach(this::logChange);
        actions.grants().forEach(this::sendGrant);
    }

    private void logChange(QuotaCoordinator.Change change) {
        String name = change.limited() ? "tenant-limited" : "tenant-open";
        metrics.count(name);
        log.event(name)
                .with("tenant", change.tenant())
                .with("level", rounded(change.level()))
                .with("demand_per_s", rounded(change.demandPerSecond()))
                .with("members", change.members())
                .write();
    }

    private static double rounded(double value) {
        return Math.round(value * ROUNDING) / ROUNDING;
    }

    /** Handles a report of an entry; returns the acknowledgement. */
    public Optional<QuotaGrant> onReport(NodeId from, QuotaReport message) {
        if (!knowsMembers()) {
            return Optional.empty();
        }
        return coordinator
                .onReport(from, QuotaMessages.decode(message), timers.now())
                .map(QuotaMessages::encode);
    }

    /** Handles a grant of a coordinator; returns the answer if it is a probe. */
    public Optional<QuotaReport> onGrant(NodeId from, QuotaGrant message) {
        if (!knowsMembers()) {
            return Optional.empty();
        }
        return entry.onGrant(from, QuotaMessages.decode(message), timers.now())
                .map(QuotaMessages::encode);
    }

    /** Handles the acknowledgement of a report. */
    public void onAcknowledged(NodeId coordinatorNode, QuotaGrant grant) {
        onGrant(coordinatorNode, grant);
    }

    /** Handles the answer of a member to a probe. */
    public void onProbeAnswered(NodeId member, QuotaReport answer) {
        onReport(member, answer);
    }

    private void sendReport(NodeId to, UsageReport report) {
        metrics.count("quota-reports");
        QuotaReport message = QuotaMessages.encode(report);
        if (to.equals(self)) {
            timers.execute(() -> onReport(self, message).ifPresent(grant -> onGrant(self, grant)));
        } else {
            fleet.find(to).ifPresent(target -> target.link().send(message));
        }
    }

    private void sendGrant(NodeId to, ShareGrant grant) {
        metrics.count("quota-grants");
        QuotaGrant message = QuotaMessages.encode(grant);
        if (to.equals(self)) {
            timers.execute(
                    () -> onGrant(self, message).ifPresent(answer -> onReport(self, answer)));
        } else {
            fleet.find(to).ifPresent(target -> target.link().send(message));
        }
    }

    /**
     * Whether the members are known; takes them over when they changed. A node that has heard of no
     * other and has not read the store would take the whole limit for its own.
     */
    private boolean knowsMembers() {
        if (entry != null && fleet.digest() == knownDigest) {
            return true;
        }
        boolean alone = fleet.all().size() <= 1 && !fleet.hasSnapshot();
        if (fleet.find(self).isEmpty() || (alone && entry == null)) {
            return false;
        }
        knownDigest = fleet.digest();
        QuotaMembers members =
                new QuotaMembers(self, fleet.all().stream().map(NodeQuotas::memberOf).toList());
        if (entry == null) {
            entry = new EntryQuotas(members, incarnation.value() << SEQUENCE_BITS);
            coordinator = new QuotaCoordinator(members);
            applyConfiguration();
        } else {
            entry.onMembers(members);
            coordinator.onMembers(members);
        }
        return true;
    }

    private static QuotaMembers.Member memberOf(FleetTarget target) {
        String dataCentre = target.member().getDataCentre();
        return new QuotaMembers.Member(
                target.node(),
                new DataCentreName(dataCentre.isEmpty() ? target.node().value() : dataCentre));
    }
}
