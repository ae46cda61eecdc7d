package org.damaskmoor.core.routetable;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * One service behind a route. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its share of the requests, relative to the other parts; 0 for none
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
