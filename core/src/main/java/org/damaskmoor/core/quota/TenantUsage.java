package org.damaskmoor.core.quota;

import org.damaskmoor.core.id.TenantName;

/**
 * What an entry reports of one tenant. Immutable and thread-safe.
 *
 * @param tenant the tenant
 * @param admitted requests admitted since the last report less those that did not run
 * @param refused requests refused for the quota since the last report
 * @param limited whether the entry takes the tenant for limited
 * @param sharePerSecond the share that the entry has while the tenant is limited
 */
public record TenantUsage(
        TenantName tenant, int admitted, int refused, boolean limited, double sharePerSecond) {}
