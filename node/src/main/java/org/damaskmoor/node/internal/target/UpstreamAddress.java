package org.damaskmoor.node.internal.target;

/**
 * The address on which the upstream listens. Immutable and thread-safe.
 *
 * @param host an IP address
 * @param port a TCP port
 */
public record UpstreamAddress(String host, int port) {}
