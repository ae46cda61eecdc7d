package org.damaskmoor.node.internal.accounting;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.damaskmoor.core.accounting.CompletedRequest;
import org.damaskmoor.core.accounting.RequestOutcome;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.entry.CallTemplate;
import org.damaskmoor.node.internal.entry.OutcomeListener;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Turns outcomes of requests into counts for the service level.
 *
 * <p>An answer is late if it took longer than the objective for its kind allows, or the objective
 * for all kinds if its kind has none. Requests that are refused because of what the caller sent
 * (path not allowed, malformed, too large, no such service) say nothing about the service and don't
 * count towards its service level; their refusals are recorded like all others.
 *
 * <p>Confined to the caller event loop.
 */
public final class ServiceLevelRecorder implements OutcomeListener {
    private static final int FIRST_SERVER_ERROR = 500;

    private final Supplier<ServiceMatcher> services;
    private final LongSupplier clock;
    private final LongSupplier epochMilliseconds;
    private final Consumer<CompletedRequest> receiver;

    /**
     * Creates a recorder that uses the objectives of the configuration in force.
     *
     * @param services provides the configuration in force
     * @param clock the monotonic clock, in nanoseconds
     * @param epochMilliseconds the wall clock
     * @param receiver receives each completed request; must not block
     */
    ServiceLevelRecorder(
            Supplier<ServiceMatcher> services,
            LongSupplier clock,
            LongSupplier epochMilliseconds,
            Consumer<CompletedRequest> receiver) {
        this.services = services;
        this.clock = clock;
        this.epochMilliseconds = epochMilliseconds;
        this.receiver = receiver;
    }

    /** Creates a recorder that uses the clocks of this process. */
    public static ServiceLevelRecorder of(
            Supplier<ServiceMatcher> services, Consumer<CompletedRequest> receiver) {
        return new ServiceLevelRecorder(
                services, System::nanoTime, System::currentTimeMillis, receiver);
    }

    @Override
    public void onAnswered(CallTemplate template, int status) {
        if (status >= FIRST_SERVER_ERROR) {
            count(template, RequestOutcome.FAILED);
            return;
        }
        boolean late = latencyMilliseconds(template) > objectiveMilliseconds(template);
        count(template, late ? RequestOutcome.LATE : RequestOutcome.ANSWERED_IN_TIME);
    }

    @Override
    public void onRefused(CallTemplate template, RefusalReason reason) {
        switch (reason) {
            case NOT_ALLOWED, MALFORMED, TOO_LARGE, UNKNOWN_SERVICE -> {}
            default -> count(template, RequestOutcome.REFUSED);
        }
    }

    @Override
    public void onUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer) {
        count(template, RequestOutcome.UNKNOWN);
    }

    private void count(CallTemplate template, RequestOutcome outcome) {
        receiver.accept(
                new CompletedRequest(
                        template.service(),
                        template.call().getKind(),
                        TimeUnit.MILLISECONDS.toMinutes(epochMilliseconds.getAsLong()),
                        Math.max(1, template.call().getWeight()),
                        outcome,
                        latencyMilliseconds(template)));
    }

    private long latencyMilliseconds(CallTemplate template) {
        return TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - template.arrivalNanoseconds());
    }

    private long objectiveMilliseconds(CallTemplate template) {
        MatchedService service = services.get().findByName(template.service().value());
        if (service == null) {
            return Long.MAX_VALUE;
        }
        List<ServiceLevelObjective> objectives = service.configuration().getObjectivesList();
        return objectiveMilliseconds(
                objectives,
                template.call().getKind(),
                objectiveMilliseconds(objectives, "", Long.MAX_VALUE));
    }

    private static long objectiveMilliseconds(
            List<ServiceLevelObjective> objectives, String kind, long defaultMilliseconds) {
        for (ServiceLevelObjective objective : objectives) {
            if (objective.getKind().equals(kind) && objective.getLatencyMilliseconds() > 0) {
                return objective.getLatencyMilliseconds();
            }
        }
        return defaultMilliseconds;
    }
}
