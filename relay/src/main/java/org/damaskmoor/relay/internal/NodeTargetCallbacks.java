package org.damaskmoor.relay.internal;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.routetable.ColdStart;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.routetable.ServiceDefinition;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.relay.internal.target.TargetCallbacks;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Passes events of the target to the other parts of its node, and answers its queries. Confined to
 * the event loop.
 */
final class NodeTargetCallbacks implements TargetCallbacks {
    private final Runnable onUpstreamChanged;
    private final Supplier<Optional<RouteTable>> routes;
    private final Supplier<Optional<ServiceName>> service;
    private final BooleanSupplier evacuated;
    private final RegionName region;
    private final boolean coldLimits;
    private final LongSupplier lastFailureAt;
    private final Predicate<ServiceName> exporting;
    private final NodeQuarantine quarantine;
    private final Consumer<List<QuarantineRecord>> broadcast;

    /**
     * Creates an instance.
     *
     * @param routes the configuration in force; empty before the first one
     * @param service the service of the upstream; empty while no upstream is known
     * @param evacuated whether the data centre of this node is evacuated
     * @param region region of this node
     * @param coldLimits whether the configuration may limit calls to cold upstreams; otherwise an
     *     unknown configuration has no cold limit
     * @param exporting whether this node sends calls of a service to other data centres for lack of
     *     room
     */
    NodeTargetCallbacks(
            Runnable onUpstreamChanged,
            Supplier<Optional<RouteTable>> routes,
            Supplier<Optional<ServiceName>> service,
            BooleanSupplier evacuated,
            RegionName region,
            boolean coldLimits,
            LongSupplier lastFailureAt,
            Predicate<ServiceName> exporting,
            NodeQuarantine quarantine,
            Consumer<List<QuarantineRecord>> broadcast) {
        this.onUpstreamChanged = onUpstreamChanged;
        this.routes = routes;
        this.service = service;
        this.evacuated = evacuated;
        this.region = region;
        this.coldLimits = coldLimits;
        this.lastFailureAt = lastFailureAt;
        this.exporting = exporting;
        this.quarantine = quarantine;
        this.broadcast = broadcast;
    }

    @Override
    public void onUpstreamChanged() {
        onUpstreamChanged.run();
    }

    @Override
    public boolean failedSince(long time) {
        return lastFailureAt.getAsLong() >= time;
    }

    @Override
    public String healthPath() {
        return definition().map(ServiceDefinition::healthPath).orElse("");
    }

    @Override
    public Optional<ColdStart> coldStart() {
        if (coldLimits && routes.get().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(definition().map(ServiceDefinition::coldStart).orElse(ColdStart.NONE));
    }

    private Optional<ServiceDefinition> definition() {
        return routes.get().flatMap(table -> service.get().flatMap(table::service));
    }

    @Override
    public boolean isExporting() {
        return service.get().filter(exporting).isPresent();
    }

    @Override
    public boolean isEvacuated() {
        return evacuated.getAsBoolean();
    }

    @Override
    public boolean isAllowedHere(String tenant) {
        return tenant.isEmpty()
                || routes.get()
                        .flatMap(table -> table.tenants().find(new TenantName(tenant)))
                        .map(Tenant::allowedRegions)
                        .map(allowed -> allowed.isEmpty() || allowed.contains(region))
                        .orElse(true);
    }

    @Override
    public boolean hasTenants() {
        return routes.get().map(table -> table.tenants().hasTenants()).orElse(false);
    }

    @Override
    public void onUpstreamCrashed(Collection<RequestFingerprint> running) {
        broadcast.accept(quarantine.onUpstreamCrashed(running));
    }

    @Override
    public void onAnswered(RequestFingerprint request) {
        quarantine.onAnswered(request);
    }

    @Override
    public boolean isQuarantined(RequestFingerprint request) {
        return quarantine.contains(request);
    }
}
