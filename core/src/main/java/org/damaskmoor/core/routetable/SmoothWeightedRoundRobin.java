package org.damaskmoor.core.routetable;

import java.util.List;
import org.damaskmoor.core.id.ServiceName;

/**
 * Distributes the requests of a route over its services by weight.
 *
 * <p>Smooth weighted round robin: each turn adds every service's weight to its credit; the service
 * with the most credit is selected and its credit reduced by the sum of all weights. Every run of
 * requests stays close to the weights, so shares are accurate within the first hundred requests.
 * Not thread-safe.
 */
public final class SmoothWeightedRoundRobin {
    private final List<WeightedService> parts;
    private final long[] credits;
    private long totalWeight;

    /**
     * Starts at the given position of the round, so that nodes that start together do not all begin
     * with the same service.
     *
     * @param firstTurn position in the round; should differ between nodes
     */
    public SmoothWeightedRoundRobin(List<WeightedService> parts, int firstTurn) {
        this.parts = List.copyOf(parts);
        this.credits = new long[parts.size()];
        for (WeightedService part : parts) {
            totalWeight += part.weight();
        }
        if (totalWeight > 0 && parts.size() > 1) {
            for (int i = 0; i < Math.floorMod(firstTurn, (int) Math.min(totalWeight, 1000)); i++) {
                next();
            }
        }
    }

    /** The services and their weights. */
    public List<WeightedService> parts() {
        return parts;
    }

    /** Selects the service for the next request. */
    public ServiceName next() {
        if (parts.size() == 1 || totalWeight == 0) {
            return parts.get(0).service();
        }
        int selected = 0;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += parts.get(i).weight();
            if (credits[i] > credits[selected]) {
                selected = i;
            }
        }
        credits[selected] -= totalWeight;
        return parts.get(selected).service();
    }
}
