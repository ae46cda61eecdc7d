package org.damaskmoor.core.routing;

/**
 * What routing needs to know of a request. Immutable and thread-safe.
 *
 * @param nonIdempotent whether it may run at most once
 * @param remainingNanoseconds time left until its deadline
 */
public record RoutingRequest(boolean nonIdempotent, long remainingNanoseconds) {}
