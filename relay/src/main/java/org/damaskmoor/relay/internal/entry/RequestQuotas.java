package org.damaskmoor.relay.internal.entry;

import java.util.Optional;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;

/** The quotas of tenants as the entry sees them. Confined to the event loop. */
public interface RequestQuotas {
    /**
     * Charges a request to the quota of its tenant.
     *
     * @return the reply to the caller if the quota is used up or its state is unknown, so that the
     *     request must not run
     */
    Optional<CallerReply> charge(CallerRequest request, Tenant tenant);

    /** Takes back the charge of a request that was answered as not run. */
    void refund(Tenant tenant);
}
