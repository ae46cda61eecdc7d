package org.damaskmoor.core.routetable;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * A service as the operator configured it. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param healthPath path of the health check, or empty when there is none
 * @param maximumConnections maximum number of connections that an upstream accepts from all callers
 *     together
 * @param coldStart what an upstream that has just started tolerates
 */
public record ServiceDefinition(
        ServiceName name, String healthPath, int maximumConnections, ColdStart coldStart) {
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(coldStart, "coldStart");
    }
}
