package org.damaskmoor.relay.internal.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.placement.PlacementConstraint;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Selects the targets of a service among which a call is placed. Confined to the event loop. */
final class CandidateSelection {
    private CandidateSelection() {}

    /**
     * Returns the targets that may get the call. Those whose link failed are included only if there
     * are no others, because the call could wait for a connection until it is too late; their links
     * are opened again meanwhile. So are the failed links to targets that accepted no calls when
     * they last reported, because only a report over the link tells that they do again.
     */
    static List<FleetTarget> select(
            FleetDirectory fleet, AdmittedRequest request, Set<NodeId> triedNodes, long now) {
        PlacementConstraint constraint = constraint(fleet, request);
        List<FleetTarget> reachable = new ArrayList<>();
        List<FleetTarget> failing = new ArrayList<>();
        for (FleetTarget target : fleet.targets(request.service())) {
            boolean eligible =
                    !triedNodes.contains(target.node())
                            && constraint.allows(target.region(), target.dataCentre());
            if (eligible && !target.isAcceptingCalls()) {
                reopenIfFailing(target);
            } else if (eligible && !target.estimate().isAvoided(now)) {
                (target.link().isFailing() ? failing : reachable).add(target);
            }
        }
        failing.forEach(target -> target.link().open());
        return reachable.isEmpty() ? failing : reachable;
    }

    private static void reopenIfFailing(FleetTarget target) {
        if (target.link().isFailing()) {
            target.link().open();
        }
    }

    /** The targets of this node's data centre that may get the call, also those it has tried. */
    static List<FleetTarget> ownTargets(FleetDirectory fleet, AdmittedRequest request) {
        PlacementConstraint constraint = constraint(fleet, request);
        return fleet.targets(request.service()).stream()
                .filter(target -> !EntryEgress.isElsewhere(target))
                .filter(FleetTarget::isAcceptingCalls)
                .filter(target -> constraint.allows(target.region(), target.dataCentre()))
                .toList();
    }

    /** The reason to refuse a request for which no target could be selected. */
    static RefusalReason reasonForNone(
            FleetDirectory fleet, AdmittedRequest request, Collection<NodeId> triedNodes) {
        if (!triedNodes.isEmpty()) {
            return RefusalReason.NO_UPSTREAM;
        }
        return constraint(fleet, request)
                .exclusionOfAll(
                        fleet.targets(request.service()),
                        FleetTarget::region,
                        FleetTarget::dataCentre)
                .map(CandidateSelection::reason)
                .orElse(RefusalReason.NO_UPSTREAM);
    }

    private static RefusalReason reason(PlacementConstraint.Exclusion exclusion) {
        return exclusion == PlacementConstraint.Exclusion.REGION
                ? RefusalReason.NOT_ALLOWED
                : RefusalReason.DRAINING;
    }

    private static PlacementConstraint constraint(FleetDirectory fleet, AdmittedRequest request) {
        return PlacementConstraint.of(request.route(), request.tenant(), fleet.evacuated());
    }
}
