package org.damaskmoor.core.queueing;

import java.util.Optional;
import org.damaskmoor.core.id.TenantName;

/**
 * The calls of one tenant within one priority, or those without a tenant; flows of a priority share
 * the slots. Immutable and thread-safe.
 *
 * @param priority priority of the calls
 * @param tenant the tenant; empty for calls without one
 */
record Flow(int priority, Optional<TenantName> tenant) {
    static Flow of(QueuedCall<?> call) {
        return new Flow(call.priority(), call.tenant());
    }
}
