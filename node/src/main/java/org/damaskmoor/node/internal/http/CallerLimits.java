package org.damaskmoor.node.internal.http;

/**
 * Limits of the caller port. Immutable and thread-safe.
 *
 * @param bodyBytes maximum size of a request body
 * @param connections maximum number of connections
 * @param connectionsPerCaller maximum number of connections from one address
 */
public record CallerLimits(int bodyBytes, int connections, int connectionsPerCaller) {}
