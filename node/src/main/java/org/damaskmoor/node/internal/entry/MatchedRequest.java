package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;

/**
 * What the configuration says of a request. Immutable and thread-safe.
 *
 * @param service the service that it is for
 * @param caller who sent it
 * @param allowed whether this caller may send it
 * @param kind the kind under which it is counted
 * @param nonIdempotent whether it runs at most once
 * @param claim whether its idempotency key is claimed in the table service before the run
 * @param weight what it counts for
 * @param importance 0 (shed first) to 3 (shed last)
 * @param timeoutMilliseconds deadline when the caller names none; 0 means the node's default
 * @param configurationVersion version of the configuration that said so
 */
public record MatchedRequest(
        ServiceName service,
        CallerName caller,
        boolean allowed,
        String kind,
        boolean nonIdempotent,
        boolean claim,
        int weight,
        int importance,
        int timeoutMilliseconds,
        long configurationVersion) {}
