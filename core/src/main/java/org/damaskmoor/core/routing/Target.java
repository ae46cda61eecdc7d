package org.damaskmoor.core.routing;

import java.util.Objects;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * A node of the service as membership knows it.
 *
 * <p>Invariant: {@code capacity} is at least 1. Immutable and thread-safe.
 *
 * @param id the node and its incarnation
 * @param region the region it stands in
 * @param dataCentre the data centre it stands in
 * @param state the state of its upstream
 * @param capacity requests that its upstream announced to serve at once
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

    /** Whether new work may be sent to it. */
    public boolean takesNewWork() {
        return state == UpstreamState.SERVING || state == UpstreamState.WARMING;
    }
}
