package org.damaskmoor.core.accounting;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * One completed request, as counted for the service level. Immutable and thread-safe.
 *
 * @param service the requested service
 * @param kind the kind that the matching rule of the service names
 * @param epochMinute when it ended, in minutes since the epoch
 * @param weight the request's weight
 * @param end how it ended
 * @param latencyMilliseconds time from its arrival to its completion
 */
public record CompletedRequest(
        ServiceName service,
        String kind,
        long epochMinute,
        long weight,
        RequestOutcome end,
        long latencyMilliseconds) {
    public CompletedRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(end, "end");
    }
}
