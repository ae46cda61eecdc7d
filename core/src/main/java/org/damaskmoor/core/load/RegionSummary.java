package org.damaskmoor.core.load;

import java.util.Objects;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;

/**
 * Load of one service in one region, aggregated over its targets and sent to other regions in place
 * of one report per target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param region the region
 * @param targets number of targets that take new work
 * @param load number of requests in flight and queued
 * @param limit sum of the targets' concurrency limits
 * @param latencyMicroseconds mean service time, weighted by limit
 */
public record RegionSummary(
        ServiceName service,
        RegionName region,
        int targets,
        long load,
        long limit,
        long latencyMicroseconds) {
    public RegionSummary {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(region, "region");
    }

    /** Load as a fraction of the limit; 1 when the limit is 0. */
    public double occupancy() {
        return limit <= 0 ? 1 : (double) load / limit;
    }
}
