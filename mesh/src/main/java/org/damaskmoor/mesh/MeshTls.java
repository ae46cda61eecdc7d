package org.damaskmoor.mesh;

import io.netty.handler.ssl.SslContext;

/**
 * TLS contexts for connections between nodes. Immutable and thread-safe.
 *
 * @param server used for connections that other nodes open
 * @param client used for connections that this node opens
 */
public record MeshTls(SslContext server, SslContext client) {}
