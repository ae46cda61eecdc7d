package org.damaskmoor.core.quota;

import java.util.List;

/**
 * A message of a coordinator to one entry. Immutable and thread-safe.
 *
 * @param reportSequence the report that is acknowledged; 0 if none is
 * @param configurationVersion version of the configuration in force at the coordinator
 * @param shares the shares of the entry; empty in a probe of reachability
 */
public record ShareGrant(long reportSequence, long configurationVersion, List<TenantShare> shares) {
    public ShareGrant {
        shares = List.copyOf(shares);
    }
}
