package org.damaskmoor.core.routetable;

import java.util.List;
import java.util.Objects;

/**
 * Requests of one host below one path prefix, and how they are to be served.
 *
 * <p>Invariant: at least one part; the prefix begins and ends with a slash. Immutable and
 * thread-safe.
 *
 * @param name the operator's name of the route
 * @param host lower case, without a port
 * @param prefix beginning of the paths
 * @param idempotent whether a request may run more than once
 * @param timeoutMilliseconds longest time until a caller is answered; 0 for no bound
 * @param objectiveMilliseconds time in which an answer has its full worth; 0 when there is no
 *     objective
 * @param priority 0 is the most urgent
 * @param parts the services, each with its weight
 * @param maximumAttempts most upstreams that one request may be sent to
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
        int maximumAttempts) {
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        parts = List.copyOf(parts);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "The prefix of route "
                            + name
                            + " must begin and end with a slash, but was "
                            + prefix
                            + ".");
        }
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("Route " + name + " names no service.");
        }
        if (timeoutMilliseconds < 0 || objectiveMilliseconds < 0 || priority < 0) {
            throw new IllegalArgumentException(
                    "Route " + name + " has a negative timeout, objective or priority.");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("Route " + name + " allows no attempt.");
        }
    }
}
