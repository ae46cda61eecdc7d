package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;

/**
 * The settings of the configuration that apply to a request. Immutable and thread-safe.
 *
 * @param service the requested service
 * @param caller the caller's name
 * @param allowed whether this caller may send the request
 * @param kind the kind under which the request is counted
 * @param nonIdempotent whether the request may run at most once
 * @param claim whether its idempotency key is claimed in the table service before it runs
 * @param weight the weight with which the request is counted
 * @param importance 0 (shed first) to 3 (shed last)
 * @param timeoutMilliseconds timeout if the caller sets none; 0 means the node's default
 * @param configurationVersion version of the configuration that was matched
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
