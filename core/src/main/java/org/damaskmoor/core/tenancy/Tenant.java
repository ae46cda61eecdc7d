package org.damaskmoor.core.tenancy;

import java.util.Objects;
import java.util.Set;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TenantName;

/**
 * A tenant as the operator configured it. Immutable and thread-safe.
 *
 * @param name its name, which upstreams get with each request
 * @param keys the API keys of its callers
 * @param priority priority of its requests before that of their routes; 0 is the highest
 * @param quota the rate of requests that it may send
 * @param allowedRegions regions whose upstreams may run its requests; empty for all
 */
public record Tenant(
        TenantName name,
        Set<ApiKey> keys,
        int priority,
        RequestQuota quota,
        Set<RegionName> allowedRegions) {
    public Tenant {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(quota, "quota");
        keys = Set.copyOf(keys);
        allowedRegions = Set.copyOf(allowedRegions);
        if (priority < 0) {
            throw new IllegalArgumentException("Tenant " + name + " has a negative priority.");
        }
    }
}
