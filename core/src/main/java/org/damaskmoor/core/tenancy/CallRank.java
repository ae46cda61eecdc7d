package org.damaskmoor.core.tenancy;

import java.util.Optional;

/**
 * Combines the priorities of a tenant and of a route into the rank by which calls are queued. A
 * tenant's priority goes before a route's; calls without a tenant, such as those that an upstream
 * sends while it runs a request, have the highest tenant priority. Thread-safe: pure functions.
 */
public final class CallRank {
    /** Greatest tenant priority that is told apart from greater ones. */
    static final int MAX_TENANT_PRIORITY = 1000;

    /** Greatest route priority that is told apart from greater ones. */
    static final int MAX_ROUTE_PRIORITY = 999;

    private CallRank() {}

    /** Returns the rank of a call; 0 is the highest. */
    public static int of(Optional<Tenant> tenant, int routePriority) {
        int tenantPriority = tenant.map(Tenant::priority).orElse(0);
        return tenantPriority == 0
                ? routePriority
                : Math.min(tenantPriority, MAX_TENANT_PRIORITY) * (MAX_ROUTE_PRIORITY + 1)
                        + Math.min(routePriority, MAX_ROUTE_PRIORITY);
    }
}
