package org.damaskmoor.core.routing;

import java.util.Objects;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * A node that runs the service, as recorded by membership.
 *
 * <p>Invariant: {@code capacity} is at least 1. Immutable and thread-safe.
 *
 * @param id the node and its incarnation
 * @param region the node's region
 * @param dataCentre the node's data centre
 * @param state the state of its upstream
 * @param capacity number of concurrent requests that the upstream announced
 */
public record Target(
        TargetId id,
        RegionName region,
        DataCentreName dataCentre,
        UpstreamState state,
        int capacity) {
    public Target {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
        capacity = Math.max(1, capacity);
    }

    /** Whether new requests may be sent to the target. */
    public boolean takesNewWork() {
        return state == UpstreamState.SERVING || state == UpstreamState.WARMING;
    }
}
