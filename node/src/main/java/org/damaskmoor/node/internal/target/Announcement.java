package org.damaskmoor.node.internal.target;

import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * What an upstream says of itself. Immutable and thread-safe.
 *
 * @param service the service it runs
 * @param address where it listens
 * @param slots requests it serves at once
 * @param connections connections it takes
 * @param state warming, serving or leaving
 */
public record Announcement(
        ServiceName service,
        UpstreamAddress address,
        int slots,
        int connections,
        UpstreamState state) {}
