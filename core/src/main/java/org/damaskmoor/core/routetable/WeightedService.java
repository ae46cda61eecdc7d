package org.damaskmoor.core.routetable;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * A service of a route, with its weight. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight share of the requests, relative to the route's other services; 0 for none
 */
public record WeightedService(ServiceName service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException(
                    "The weight of " + service + " must not be negative, but was " + weight + ".");
        }
    }
}
