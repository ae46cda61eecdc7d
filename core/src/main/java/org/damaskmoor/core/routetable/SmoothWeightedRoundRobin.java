package org.damaskmoor.core.routetable;

import java.util.List;
import org.damaskmoor.core.id.ServiceName;

/**
 * Divides the requests of a route between its parts, so that every run of requests is close to the
 * weights; answers a load whose share matters from the first hundred requests on.
 *
 * <p>Smooth weighted round robin: each part gains its weight at each turn, the richest part is
 * taken and pays the sum of all weights. Not thread-safe.
 */
public final class SmoothWeightedRoundRobin {
    private final List<WeightedService> parts;
    private final long[] credit;
    private long sum;

    /**
     * Starts at a random point of the round, so that nodes that start together do not all begin
     * with the same part.
     *
     * @param firstTurn any number that differs between nodes
     */
    public SmoothWeightedRoundRobin(List<WeightedService> parts, int firstTurn) {
        this.parts = List.copyOf(parts);
        this.credit = new long[parts.size()];
        for (WeightedService part : parts) {
            sum += part.weight();
        }
        if (sum > 0 && parts.size() > 1) {
            for (int i = 0; i < Math.floorMod(firstTurn, (int) Math.min(sum, 1000)); i++) {
                next();
            }
        }
    }

    /** The parts that are divided between. */
    public List<WeightedService> parts() {
        return parts;
    }

    /** The service of the next request. */
    public ServiceName next() {
        if (parts.size() == 1 || sum == 0) {
            return parts.get(0).service();
        }
        int richest = 0;
        for (int i = 0; i < credit.length; i++) {
            credit[i] += parts.get(i).weight();
            if (credit[i] > credit[richest]) {
                richest = i;
            }
        }
        credit[richest] -= sum;
        return parts.get(richest).service();
    }
}
