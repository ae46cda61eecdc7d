package org.damaskmoor.relay.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.fleet.FleetTarget;

/** Selects the targets of a service among which a call is placed. Confined to the event loop. */
final class CandidateSelection {
    private CandidateSelection() {}

    /**
     * Returns the targets that may get the call. Those whose link failed are included only if there
     * are no others, because the call could wait for a connection until it is too late; their links
     * are opened again meanwhile.
     */
    static List<FleetTarget> select(List<FleetTarget> targets, Set<NodeId> triedNodes, long now) {
        List<FleetTarget> reachable = new ArrayList<>();
        List<FleetTarget> failing = new ArrayList<>();
        for (FleetTarget target : targets) {
            boolean eligible = target.isAcceptingCalls() && !triedNodes.contains(target.node());
            if (eligible && !target.estimate().isAvoided(now)) {
                (target.link().isFailing() ? failing : reachable).add(target);
            }
        }
        failing.forEach(target -> target.link().open());
        return reachable.isEmpty() ? failing : reachable;
    }
}
