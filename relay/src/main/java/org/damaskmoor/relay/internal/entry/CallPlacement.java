package org.damaskmoor.relay.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.placement.CallProfile;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Chooses the targets of one request's attempts among those that may get it.
 *
 * <p>Confined to the event loop.
 */
final class CallPlacement {
    /** Refusals by full targets after which the next target is asked to queue the call. */
    static final int MAX_FULL_REFUSALS = 2;

    /** Least time to the objective that placement assumes, also once it has passed. */
    private static final double MIN_OBJECTIVE_MILLISECONDS = 50;

    private final AdmittedRequest admitted;
    private final EntryContext context;
    private final long objectiveAt;

    /**
     * The target of an attempt.
     *
     * @param lastChoice whether the target is asked to queue the call even if another one seems
     *     better, because the call can hardly be sent to that one
     */
    record Placed(TargetChooser.Choice<FleetTarget> choice, boolean lastChoice) {}

    /**
     * Why an attempt has no target.
     *
     * @param retryAfterMilliseconds 0 if it is not known when there will be one
     */
    record NoTarget(RefusalReason reason, long retryAfterMilliseconds) {}

    private NoTarget noTarget;

    CallPlacement(AdmittedRequest admitted, EntryContext context, long objectiveAt) {
        this.admitted = admitted;
        this.context = context;
        this.objectiveAt = objectiveAt;
    }

    /** Chooses a target; empty if there is none, for the reason that {@link #noTarget} tells. */
    Optional<Placed> place(Set<NodeId> triedNodes, int fullRefusals) {
        long now = context.timers().now();
        List<FleetTarget> candidates =
                CandidateSelection.select(context.fleet(), admitted, triedNodes, now);
        TargetChooser.Choice<FleetTarget> preferred = choose(candidates, now);
        if (preferred == null) {
            noTarget =
                    new NoTarget(
                            CandidateSelection.reasonForNone(context.fleet(), admitted, triedNodes),
                            0);
            return Optional.empty();
        }
        List<FleetTarget> permitted =
                context.egress().permitted(admitted, candidates, preferred.target());
        if (permitted.isEmpty()) {
            noTarget =
                    new NoTarget(
                            RefusalReason.QUEUE_FULL,
                            context.egress()
                                    .retryAfterMilliseconds(
                                            admitted.service(), preferred.target()));
            return Optional.empty();
        }
        TargetChooser.Choice<FleetTarget> choice = preferred;
        if (permitted.size() < candidates.size()) {
            choice = choose(permitted, now);
            if (!choice.target().dataCentre().equals(preferred.target().dataCentre())) {
                context.egress().onWanted(admitted.service(), choice.target());
            }
        }
        boolean lastChoice =
                fullRefusals >= MAX_FULL_REFUSALS
                        || permitted.size() == 1
                        || context.egress()
                                .isLastChoice(admitted.service(), choice.target(), fullRefusals);
        return Optional.of(new Placed(context.egress().withReturnTime(choice), lastChoice));
    }

    /** Why the last attempt that was not placed has no target. */
    NoTarget noTarget() {
        return noTarget;
    }

    private TargetChooser.Choice<FleetTarget> choose(List<FleetTarget> candidates, long now) {
        CallProfile profile =
                new CallProfile(
                        context.statistics().meanMilliseconds(admitted.route().name()),
                        Math.max(MIN_OBJECTIVE_MILLISECONDS, (double) (objectiveAt - now)),
                        context.statistics().meanKilobytes(admitted.route().name()));
        return context.chooser().choose(candidates, FleetTarget::estimate, profile, now);
    }
}
