package org.damaskmoor.node.internal.target;

import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * What an upstream announces about itself. Immutable and thread-safe.
 *
 * @param service the service that it runs
 * @param address its listen address
 * @param slots number of requests that it serves concurrently
 * @param connections number of connections that it accepts
 * @param state warming, serving or leaving
 */
public record Announcement(
        ServiceName service,
        UpstreamAddress address,
        int slots,
        int connections,
        UpstreamState state) {}
