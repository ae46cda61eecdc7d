package org.damaskmoor.relay.internal.entry;

import java.util.Optional;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.tenancy.CallRank;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.relay.internal.caller.CallerRequest;

/**
 * A request that its entry has admitted. Immutable and thread-safe.
 *
 * @param id id of the request within the fleet
 * @param request the request as its caller sent it
 * @param route the route that it matches
 * @param service the service that was selected from the route
 * @param tenant the tenant to which its caller belongs; empty if the route needs no key
 * @param refund takes back its charge to the tenant's quota, if it does not run
 */
record AdmittedRequest(
        RequestId id,
        CallerRequest request,
        Route route,
        ServiceName service,
        Optional<Tenant> tenant,
        Runnable refund) {

    /** Rank by which its calls are queued; 0 is the highest. */
    int rank() {
        return CallRank.of(tenant, route.priority());
    }
}
