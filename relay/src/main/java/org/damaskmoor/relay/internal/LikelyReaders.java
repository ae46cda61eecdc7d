package org.damaskmoor.relay.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.relay.internal.fleet.FleetTarget;

/**
 * The nodes of each data centre that are most likely to be its reader: those with the lowest
 * hashes, as in {@link org.damaskmoor.core.election.ReaderElection}. Thread-safe: pure functions.
 */
final class LikelyReaders {
    /** Two, so that one may be lost. */
    private static final int NODES_PER_DATA_CENTRE = 2;

    private LikelyReaders() {}

    /** Returns the likely readers among the nodes that pass the filter. */
    static Collection<FleetTarget> of(List<FleetTarget> nodes, Predicate<FleetTarget> filter) {
        Map<String, List<FleetTarget>> byDataCentre = new HashMap<>();
        for (FleetTarget node : nodes) {
            if (filter.test(node)) {
                byDataCentre
                        .computeIfAbsent(node.member().getDataCentre(), name -> new ArrayList<>())
                        .add(node);
            }
        }
        List<FleetTarget> likely = new ArrayList<>();
        for (List<FleetTarget> targets : byDataCentre.values()) {
            targets.sort(Comparator.comparingLong(node -> StableHash.of(node.node().value())));
            likely.addAll(targets.subList(0, Math.min(NODES_PER_DATA_CENTRE, targets.size())));
        }
        return likely;
    }
}
