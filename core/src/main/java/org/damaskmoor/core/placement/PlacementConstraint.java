package org.damaskmoor.core.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.tenancy.Tenant;

/**
 * Tells where a call may run: in the regions that both its route and its tenant allow, and in no
 * data centre that is evacuated.
 *
 * <p>Answers the load pattern of publishing, which is allowed in one region only: when that region
 * has too few upstreams, the call is refused, whatever capacity other regions have. A region that
 * does not exist matches nothing. Immutable and thread-safe.
 *
 * @param routeRegions regions that the route allows; empty for all
 * @param tenantRegions regions that the tenant allows; empty for all
 * @param evacuated data centres whose upstreams must get no calls
 */
public record PlacementConstraint(
        Set<RegionName> routeRegions,
        Set<RegionName> tenantRegions,
        Set<DataCentreName> evacuated) {

    /** Why no target may get a call. */
    public enum Exclusion {
        /** All targets are outside of the allowed regions. */
        REGION,
        /** The targets in allowed regions are in evacuated data centres. */
        EVACUATED
    }

    public PlacementConstraint {
        routeRegions = Set.copyOf(routeRegions);
        tenantRegions = Set.copyOf(tenantRegions);
        evacuated = Set.copyOf(evacuated);
    }

    /** The constraint of a call. */
    public static PlacementConstraint of(
            Route route, Optional<Tenant> tenant, Set<DataCentreName> evacuated) {
        return new PlacementConstraint(
                route.allowedRegions(),
                tenant.map(Tenant::allowedRegions).orElse(Set.of()),
                evacuated);
    }

    /**
     * Whether a target at this place may get the call.
     *
     * @param region the region as its node tells it; empty if unknown
     * @param dataCentre the data centre as its node tells it; empty if unknown
     */
    public boolean allows(String region, String dataCentre) {
        return allowsRegion(region) && !isEvacuated(dataCentre);
    }

    /** Whether an upstream in the region may run the call; an unknown region is not allowed. */
    public boolean allowsRegion(String region) {
        return contains(routeRegions, region) && contains(tenantRegions, region);
    }

    private static boolean contains(Set<RegionName> allowed, String region) {
        return allowed.isEmpty() || (!region.isEmpty() && allowed.contains(new RegionName(region)));
    }

    private boolean isEvacuated(String dataCentre) {
        return !evacuated.isEmpty()
                && !dataCentre.isEmpty()
                && evacuated.contains(new DataCentreName(dataCentre));
    }

    /**
     * Why none of the targets may get the call; empty if one may, or if there are no targets.
     *
     * @param regionOf returns the region of a target
     * @param dataCentreOf returns the data centre of a target
     */
    public <T> Optional<Exclusion> exclusionOfAll(
            Collection<T> targets, Function<T, String> regionOf, Function<T, String> dataCentreOf) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        Exclusion exclusion = Exclusion.REGION;
        for (T target : targets) {
            if (allowsRegion(regionOf.apply(target))) {
                if (!isEvacuated(dataCentreOf.apply(target))) {
                    return Optional.empty();
                }
                exclusion = Exclusion.EVACUATED;
            }
        }
        return Optional.of(exclusion);
    }
}
