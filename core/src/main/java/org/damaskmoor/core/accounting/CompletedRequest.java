package org.damaskmoor.core.accounting;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * One request that ended, as the service level counts it. Immutable and thread-safe.
 *
 * @param service the service that was asked for
 * @param kind the kind that the service's rule names
 * @param epochMinute when it ended, in minutes since the epoch
 * @param weight the request's weight
 * @param end how it ended
 * @param latencyMilliseconds from its arrival to the end
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
