package org.damaskmoor.relay.internal.entry;

import java.util.Collection;
import java.util.function.Consumer;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Tells a caller how its request has ended, and the log and the metrics with it. Confined to the
 * event loop.
 */
final class ExchangeReplySender {
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Bounds of the part of a Retry-After that is told, so that callers do not return together. */
    private static final double LEAST_JITTER = 0.75;

    private static final double JITTER_RANGE = 0.5;

    private final CallerRequest request;
    private final Route route;
    private final ServiceName service;
    private final EntryContext context;
    private final Consumer<CallerReply> reply;

    ExchangeReplySender(
            CallerRequest request,
            Route route,
            ServiceName service,
            EntryContext context,
            Consumer<CallerReply> reply) {
        this.request = request;
        this.route = route;
        this.service = service;
        this.context = context;
        this.reply = reply;
    }

    /** An upstream's answer, as it is. */
    void sendAnswer(ForwardedAnswer answer, Collection<NodeId> tried, int sentBack) {
        log(answer.getStatus(), "answered", tried, sentBack);
        reply.accept(
                new CallerReply(answer.getStatus(), answer.getHeadersList(), answer.getBody()));
    }

    /** It has not run and never will. */
    void sendNotRun(
            RefusalReason reason,
            long retryAfterMilliseconds,
            Collection<NodeId> tried,
            int sentBack) {
        log(UNAVAILABLE, reason.name(), tried, sentBack);
        context.metrics().count("refused", service.value() + "." + reason);
        double jitter = LEAST_JITTER + JITTER_RANGE * context.random().nextDouble();
        long retryAfter = Math.max(1, Math.round(retryAfterMilliseconds * jitter));
        reply.accept(CallerReply.notRun(reason.name(), retryAfter));
    }

    /** It is unknown whether it ran. */
    void sendUnknown(EntryAction.UnknownToCaller unknown, Collection<NodeId> tried, int sentBack) {
        String step = unknown.step().wireName();
        int status = unknown.step() == UnknownOutcomeStep.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        log(status, step, tried, sentBack);
        context.metrics().count("unknown", step);
        reply.accept(
                CallerReply.ofText(
                        status,
                        "It is unknown whether the request ran: "
                                + step
                                + " at "
                                + unknown.peer()
                                + "."));
    }

    private void log(int status, String outcome, Collection<NodeId> tried, int sentBack) {
        long took = context.timers().now() - request.arrivedAt();
        context.metrics().recordDuration("request." + service.value(), took);
        context.log()
                .event("request-ended")
                .with("request", request.id())
                .with("route", route.name())
                .with("service", service)
                .with("status", status)
                .with("outcome", outcome)
                .with("sent_back", sentBack)
                .with("took_ms", took)
                .with("usual_ms", Math.round(context.usualWork().meanMilliseconds(route.name())))
                .with("targets", tried)
                .write();
    }
}
