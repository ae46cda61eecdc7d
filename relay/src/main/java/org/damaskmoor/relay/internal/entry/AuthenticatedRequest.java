package org.damaskmoor.relay.internal.entry;

import java.util.Optional;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.relay.internal.caller.CallerRequest;

/**
 * A request that may go on. Immutable and thread-safe.
 *
 * @param request the request without its API key and without a tenant that its caller named
 * @param tenant the tenant to which its caller belongs; empty if there is none
 */
record AuthenticatedRequest(CallerRequest request, Optional<Tenant> tenant) {}
