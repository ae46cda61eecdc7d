package org.damaskmoor.core.routetable;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.damaskmoor.core.id.RegionName;

/**
 * Matches the requests of one host below one path prefix and defines how they are served.
 *
 * <p>Invariants: at least one service; the prefix begins and ends with a slash. Immutable and
 * thread-safe.
 *
 * @param name the name that the operator gave the route
 * @param host the host, in lower case and without a port
 * @param prefix the path prefix
 * @param idempotent whether a request may run more than once
 * @param timeoutMilliseconds maximum time until the caller is answered; 0 for no limit
 * @param objectiveMilliseconds latency objective; 0 when there is none
 * @param priority priority of the requests; 0 is the highest
 * @param parts the services and their weights
 * @param maximumAttempts maximum number of upstreams that one request may be sent to
 * @param isPublic whether requests need no API key
 * @param allowedRegions regions whose upstreams may run the requests; empty for all
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeoutMilliseconds,
        long objectiveMilliseconds,
        int priority,
        List<WeightedService> parts,
        int maximumAttempts,
        boolean isPublic,
        Set<RegionName> allowedRegions) {
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        parts = List.copyOf(parts);
        allowedRegions = Set.copyOf(allowedRegions);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "The prefix of route "
                            + name
                            + " must begin and end with a slash, but was "
                            + prefix
                            + ".");
        }
        if (parts.isEmpty()) {
            throw new IllegalArgumentException(
                    "Route " + name + " must name at least one service.");
        }
        if (timeoutMilliseconds < 0 || objectiveMilliseconds < 0 || priority < 0) {
            throw new IllegalArgumentException(
                    "Route " + name + " has a negative timeout, objective or priority.");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException(
                    "Route " + name + " must allow at least one attempt.");
        }
    }
}
