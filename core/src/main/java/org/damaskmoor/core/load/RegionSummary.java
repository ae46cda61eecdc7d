package org.damaskmoor.core.load;

import java.util.Objects;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;

/**
 * What one region tells another of a service: the sum over its targets, in place of a report each.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param region the region that is summed up
 * @param targets targets that take new work
 * @param load requests in flight and queued
 * @param limit sum of the admission limits
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

    /** Load as a part of the limit; 1 when there is no limit. */
    public double occupancy() {
        return limit <= 0 ? 1 : (double) load / limit;
    }
}
