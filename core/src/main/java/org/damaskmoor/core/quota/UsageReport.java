package org.damaskmoor.core.quota;

import java.util.List;

/**
 * A report of an entry to one coordinator. Immutable and thread-safe.
 *
 * @param sequence number of the report, unique for the incarnation of the entry; 0 if it needs no
 *     acknowledgement
 * @param configurationVersion version of the configuration in force at the entry
 * @param usages the tenants that this coordinator looks after
 */
public record UsageReport(long sequence, long configurationVersion, List<TenantUsage> usages) {
    public UsageReport {
        usages = List.copyOf(usages);
    }
}
