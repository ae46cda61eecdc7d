package org.damaskmoor.node.internal.http;

/**
 * Bounds of the port for callers. Immutable and thread-safe.
 *
 * @param bodyBytes longest body of a request
 * @param connections most connections in all
 * @param connectionsPerCaller most connections from one address
 */
public record CallerLimits(int bodyBytes, int connections, int connectionsPerCaller) {}
