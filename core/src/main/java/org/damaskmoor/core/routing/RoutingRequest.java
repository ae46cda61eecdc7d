package org.damaskmoor.core.routing;

/**
 * The properties of a request that routing depends on. Immutable and thread-safe.
 *
 * @param nonIdempotent whether the request may run at most once
 * @param remainingNanoseconds time left until the request's deadline
 */
public record RoutingRequest(boolean nonIdempotent, long remainingNanoseconds) {}
