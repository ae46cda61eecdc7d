package org.damaskmoor.relay.internal.entry;

import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.schema.link.ForwardedCall;

/** Creates the {@link ForwardedCall} messages of one request. Confined to the event loop. */
final class ForwardedCallFactory {
    /**
     * Upper bound of the reported spare time, which is the delay at the target after which another
     * target would be better; longer than any wait at a target.
     */
    private static final double MAX_SPARE_MILLISECONDS = 60_000;

    private static final double PERCENT = 100;

    private final AdmittedRequest admitted;
    private final CallerRequest request;
    private final Route route;
    private final EntryContext context;
    private final long deadlineAt;

    ForwardedCallFactory(AdmittedRequest admitted, EntryContext context, long deadlineAt) {
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.context = context;
        this.deadlineAt = deadlineAt;
    }

    /** Time until which an answer meets the objective of the route. */
    long objectiveAt() {
        return route.objectiveMilliseconds() > 0
                ? request.arrivedAt() + route.objectiveMilliseconds()
                : deadlineAt;
    }

    ForwardedCall create(
            int attempt, TargetChooser.Choice<FleetTarget> choice, boolean lastChoice) {
        long now = context.timers().now();
        double slowness = choice.target().estimate().baselineSlowness();
        double spareMilliseconds = Math.min(MAX_SPARE_MILLISECONDS, choice.spareMilliseconds());
        double usualMilliseconds = context.statistics().meanMilliseconds(route.name());
        ForwardedCall.Builder call =
                ForwardedCall.newBuilder()
                        .setSequence(admitted.id().sequence())
                        .setAttempt(attempt)
                        .setService(admitted.service().value())
                        .setMethod(request.method())
                        .setTarget(request.target())
                        .addAllHeaders(request.headers())
                        .setBody(request.body())
                        .setCallerRequestId(request.id())
                        .setRemainingMilliseconds((int) Math.max(1, deadlineAt - now))
                        .setObjectiveMilliseconds((int) Math.max(0, objectiveAt() - now))
                        .setPriority(admitted.rank())
                        .setNonIdempotent(!route.idempotent())
                        .setCallerService(context.service().value())
                        .setUsualMilliseconds((int) Math.round(usualMilliseconds))
                        .setLastChoice(lastChoice)
                        .setExpectedSlownessPercent((int) Math.round(slowness * PERCENT))
                        .setSpareMilliseconds((int) spareMilliseconds);
        choice.target().heardLimitPerSecond().ifPresent(call::setHeardLimitPerSecond);
        admitted.tenant().ifPresent(tenant -> call.setTenant(tenant.name().value()));
        return call.build();
    }
}
