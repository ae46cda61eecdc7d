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
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Sends a caller the reply to its request, and logs and counts the outcome. Confined to the event
 * loop.
 */
final class ExchangeReplySender {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Least factor of the Retry-After jitter, which keeps callers from retrying at the same time.
     */
    private static final double MIN_JITTER = 0.75;

    private static final double JITTER_RANGE = 0.5;

    /** Logged as the number of the attempt of a reply that forwards no answer. */
    private static final int NO_ATTEMPT = 0;

    /**
     * Least Retry-After if no upstream is in an allowed region: this lasts until an upstream joins
     * there or the operator changes the configuration, so that an earlier retry is useless.
     */
    private static final long NOT_ALLOWED_RETRY_AFTER_MILLISECONDS = 1000;

    private final CallerRequest request;
    private final Route route;
    private final ServiceName service;
    private final String tenant;
    private final EntryContext context;
    private final Consumer<CallerReply> reply;
    private final Runnable refund;

    ExchangeReplySender(
            AdmittedRequest admitted, EntryContext context, Consumer<CallerReply> reply) {
        this.request = admitted.request();
        this.route = admitted.route();
        this.service = admitted.service();
        this.tenant = admitted.tenant().map(known -> known.name().value()).orElse("");
        this.context = context;
        this.reply = reply;
        this.refund = admitted.refund();
    }

    /** Forwards an upstream's answer unchanged. */
    void sendAnswer(ForwardedAnswer answer, Collection<NodeId> triedNodes, int fullRefusals) {
        log(answer.getStatus(), "answered", answer.getAttempt(), triedNodes, fullRefusals);
        reply.accept(
                new CallerReply(answer.getStatus(), answer.getHeadersList(), answer.getBody()));
    }

    /** Replies that the request was not run and never will be. */
    void sendNotRun(
            RefusalReason reason,
            long retryAfterMilliseconds,
            Collection<NodeId> triedNodes,
            int fullRefusals) {
        refund.run();
        log(SERVICE_UNAVAILABLE, reason.name(), NO_ATTEMPT, triedNodes, fullRefusals);
        context.metrics().count("refused", service.value() + "." + reason);
        double jitter = MIN_JITTER + JITTER_RANGE * context.random().nextDouble();
        long base =
                reason == RefusalReason.NOT_ALLOWED
                        ? Math.max(NOT_ALLOWED_RETRY_AFTER_MILLISECONDS, retryAfterMilliseconds)
                        : retryAfterMilliseconds;
        long retryAfter = Math.max(1, Math.round(base * jitter));
        reply.accept(CallerReply.notRun(reason.name(), retryAfter));
    }

    /** Replies that it is unknown whether the request ran. */
    void sendUnknown(
            EntryAction.UnknownToCaller unknown, Collection<NodeId> triedNodes, int fullRefusals) {
        String step = unknown.step().wireName();
        int status = unknown.step() == UnknownOutcomeStep.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        log(status, step, NO_ATTEMPT, triedNodes, fullRefusals);
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

    /** Logs an answer to an attempt that counted as ended because its link was lost. */
    void logAnswerAfterEnd(SentAttempt attempt, ForwardedAnswer answer) {
        context.log()
                .event("answer-after-end")
                .with("request", request.id())
                .with("attempt", attempt.number)
                .with("target", attempt.target.node())
                .with("status", answer.getStatus())
                .write();
    }

    private void log(
            int status,
            String outcome,
            int answeredAttempt,
            Collection<NodeId> triedNodes,
            int fullRefusals) {
        long durationMilliseconds = context.timers().now() - request.arrivedAt();
        context.metrics().recordDuration("request." + service.value(), durationMilliseconds);
        EventLog.Line line =
                context.log()
                        .event("request-ended")
                        .with("request", request.id())
                        .with("route", route.name())
                        .with("service", service);
        if (!tenant.isEmpty()) {
            line.with("tenant", tenant);
        }
        line.with("status", status)
                .with("outcome", outcome)
                .with("attempt", answeredAttempt)
                .with("sent_back", fullRefusals)
                .with("took_ms", durationMilliseconds)
                .with("usual_ms", Math.round(context.statistics().meanMilliseconds(route.name())))
                .with("targets", triedNodes)
                .write();
    }
}
