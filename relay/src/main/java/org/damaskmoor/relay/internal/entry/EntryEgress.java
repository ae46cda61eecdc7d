package org.damaskmoor.relay.internal.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.egress.EgressChange;
import org.damaskmoor.core.egress.EgressControl;
import org.damaskmoor.core.egress.EgressDestination;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.placement.Proximity;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Limits the calls that an entry sends out of its data centre, unless it is uncontrolled.
 *
 * <p>Confined to the event loop. Invariant: targets of the own data centre are always permitted.
 */
public final class EntryEgress {
    private final Optional<EgressControl> control;
    private final FleetDirectory fleet;
    private final Timers timers;
    private final EventLog log;
    private final RelayMetrics metrics;

    /**
     * Creates an instance without limits.
     *
     * @param controlled whether it may limit calls; if not, it permits all
     */
    public EntryEgress(
            boolean controlled,
            FleetDirectory fleet,
            Timers timers,
            EventLog log,
            RelayMetrics metrics) {
        this.control =
                controlled ? Optional.of(new EgressControl(this::onChanged)) : Optional.empty();
        this.fleet = fleet;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /** Whether a target is outside of the data centre of this node. */
    static boolean isElsewhere(FleetTarget target) {
        Proximity proximity = target.estimate().proximity();
        return proximity == Proximity.REGION || proximity == Proximity.REMOTE;
    }

    /** Whether calls of the service were lately sent to other data centres for lack of room. */
    boolean isExporting(ServiceName service) {
        return control.map(known -> known.isExporting(service, timers.now())).orElse(false);
    }

    /**
     * Returns the candidates to which the call may be sent.
     *
     * @param preferred the candidate that would be chosen without limits
     */
    List<FleetTarget> permitted(
            AdmittedRequest request, List<FleetTarget> candidates, FleetTarget preferred) {
        if (control.isEmpty() || candidates.stream().noneMatch(EntryEgress::isElsewhere)) {
            return candidates;
        }
        onWanted(request.service(), preferred);
        Set<String> exporting = exporting(request);
        Map<String, Boolean> permitted = new HashMap<>();
        List<FleetTarget> result =
                candidates.stream()
                        .filter(
                                target ->
                                        !isElsewhere(target)
                                                || permitted.computeIfAbsent(
                                                        target.dataCentre(),
                                                        name ->
                                                                !exporting.contains(name)
                                                                        && permits(
                                                                                request.service(),
                                                                                target)))
                        .toList();
        if (isElsewhere(preferred) && !permitted.get(preferred.dataCentre())) {
            metrics.count(
                    result.isEmpty() ? "egress-refused" : "egress-redirected",
                    request.service().value());
        }
        return result;
    }

    /**
     * The data centres that send calls of the service away; none if the own data centre has no
     * target, because the call can only run elsewhere then.
     */
    private Set<String> exporting(AdmittedRequest request) {
        long now = timers.now();
        Set<String> names = new HashSet<>();
        for (FleetTarget target : fleet.targets(request.service())) {
            if (isElsewhere(target) && target.isExporting(now)) {
                names.add(target.dataCentre());
            }
        }
        return names.isEmpty() || !CandidateSelection.ownTargets(fleet, request).isEmpty()
                ? names
                : Set.of();
    }

    private boolean permits(ServiceName service, FleetTarget target) {
        return destination(service, target).map(control.get()::permits).orElse(true);
    }

    /** The call would be sent to the target if its data centre was open. */
    void onWanted(ServiceName service, FleetTarget target) {
        control.ifPresent(
                known ->
                        destination(service, target)
                                .ifPresent(there -> known.onWanted(there, timers.now())));
    }

    /**
     * Whether the target should queue the call if it can, also if another one seems better: it is
     * elsewhere, and the call has been returned before or its data centre lately had no room.
     */
    boolean isLastChoice(ServiceName service, FleetTarget target, int fullRefusals) {
        if (control.isEmpty() || !isElsewhere(target)) {
            return false;
        }
        long now = timers.now();
        return fullRefusals > 0
                || destination(service, target)
                        .map(there -> control.get().expectsRefusals(there, now))
                        .orElse(false);
    }

    /**
     * Adds to the spare time of a call that is sent elsewhere the round trip that it takes to send
     * it to another target: returning a call for a shorter wait than that only makes it later.
     */
    TargetChooser.Choice<FleetTarget> withReturnTime(TargetChooser.Choice<FleetTarget> choice) {
        if (control.isEmpty() || !isElsewhere(choice.target())) {
            return choice;
        }
        double roundTrip = choice.target().estimate().proximity().roundTripMilliseconds();
        return new TargetChooser.Choice<>(choice.target(), choice.spareMilliseconds() + roundTrip);
    }

    /** A call was sent to the target. */
    void onSent(AdmittedRequest request, FleetTarget target) {
        if (control.isEmpty() || !isElsewhere(target)) {
            return;
        }
        long now = timers.now();
        destination(request.service(), target).ifPresent(there -> control.get().onSent(there, now));
        if (ownDataCentreIsFull(request, now)) {
            control.get().onExported(request.service(), now);
        }
    }

    /**
     * Whether the own data centre has targets for the call, and none with an expected free slot.
     */
    private boolean ownDataCentreIsFull(AdmittedRequest request, long now) {
        List<FleetTarget> own = CandidateSelection.ownTargets(fleet, request);
        return !own.isEmpty()
                && own.stream().noneMatch(target -> target.estimate().hasFreeSlot(now));
    }

    /**
     * A target refused an attempt. A call that was not sent as its last choice may have been
     * returned only because the target expects another one to be better.
     */
    void onRefused(ServiceName service, SentAttempt attempt, ForwardedRefusal refusal) {
        boolean full = refusal.getReason() == RefusalReason.QUEUE_FULL;
        boolean overloaded = refusal.getReason() == RefusalReason.OVERLOADED;
        Optional<EgressDestination> there = destination(service, attempt.target);
        if (control.isEmpty() || there.isEmpty() || !(full || overloaded)) {
            return;
        }
        if (overloaded || attempt.lastChoice) {
            control.get().onRefused(there.get(), refusal.getRetryAfterMilliseconds(), timers.now());
        } else {
            control.get().onSentBack(there.get(), timers.now());
        }
    }

    /** A target answered an attempt. */
    void onAnswered(ServiceName service, FleetTarget target, TargetLoad load) {
        boolean hasRoom =
                load.getRunning() + load.getWaiting() < load.getLimit()
                        && load.getStartDelayMilliseconds() == 0;
        control.ifPresent(
                known ->
                        destination(service, target)
                                .ifPresent(
                                        there -> known.onAccepted(there, hasRoom, timers.now())));
    }

    /** Retry-After of the last refusal by the target's data centre; 0 if none is known. */
    long retryAfterMilliseconds(ServiceName service, FleetTarget target) {
        return control.isEmpty()
                ? 0
                : destination(service, target)
                        .map(control.get()::retryAfterMilliseconds)
                        .orElse(0L);
    }

    /** Empty for the own data centre, and for a target whose record names none. */
    private static Optional<EgressDestination> destination(
            ServiceName service, FleetTarget target) {
        return isElsewhere(target) && !target.dataCentre().isEmpty()
                ? Optional.of(
                        new EgressDestination(service, new DataCentreName(target.dataCentre())))
                : Optional.empty();
    }

    private void onChanged(EgressChange change) {
        metrics.count(change.limited() ? "egress-limited" : "egress-opened");
        log.event(change.limited() ? "egress-limited" : "egress-opened")
                .with("service", change.destination().service())
                .with("data_centre", change.destination().dataCentre())
                .with("sent_per_s", Math.round(change.sentPerSecond()))
                .with("wanted_per_s", Math.round(change.wantedPerSecond()))
                .with("refusals", change.refusals())
                .with("answers", change.acceptances())
                .write();
    }
}
