package org.damaskmoor.relay.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.once.AttemptId;
import org.damaskmoor.core.once.CallStep;
import org.damaskmoor.core.once.EntryAction;
import org.damaskmoor.core.once.EntryCall;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.placement.WorkView;
import org.damaskmoor.core.retry.FleetRetryBudget;
import org.damaskmoor.core.routes.Route;
import org.damaskmoor.core.waiting.WaitingRoom;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * One request of a caller at its entry, from its arrival to its reply.
 *
 * <p>Performs the actions of its {@link EntryCall}: chooses targets, sends, seals and cancels.
 *
 * <p>Confined to the event loop. Invariant: the caller gets one reply, or none when it is gone.
 */
final class EntryExchange {
    /** Longest time for a request whose caller and route name none, in milliseconds. */
    private static final long DEFAULT_PATIENCE_MILLISECONDS = 30_000;

    /** Times that a request is sent back by full targets before it waits at one. */
    private static final int MOST_SENT_BACK = 2;

    /** Times that a request is sent on after it certainly did not reach an upstream. */
    private static final int MOST_UNREACHED = 6;

    /** Longest wait for word about a call that was lost on its way, in milliseconds. */
    private static final long SEAL_TIMEOUT_MILLISECONDS = 1500;

    /** Pause of a target that can't be reached, in milliseconds. */
    private static final long UNREACHABLE_MILLISECONDS = 500;

    /** When a caller may come again if no target has told when room is expected. */
    private static final long USUAL_RETRY_AFTER_MILLISECONDS = 250;

    /** Bound on what is told of the spare time; longer than any wait at a target. */
    private static final double MOST_SPARE_MILLISECONDS = 60_000;

    /** Least time to the goal that placement goes by, once the goal has passed. */
    private static final double LEAST_GOAL_MILLISECONDS = 50;

    /** Headers of a call and framing of both ways, in bytes. */
    private static final int USUAL_HEAD_BYTES = 300;

    private static final double BYTES_PER_KILOBYTE = 1000;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double PERCENT = 100;

    private final RequestId id;
    private final CallerRequest request;
    private final Route route;
    private final ServiceName service;
    private final EntryContext context;
    private final Consumer<CallerReply> reply;
    private final Consumer<EntryExchange> finished;
    private final EntryCall call;
    private final FleetRetryBudget budget;
    private final Map<Integer, SentAttempt> attempts = new HashMap<>();
    private final Set<NodeId> tried = new HashSet<>();
    private final long limitAt;
    private final Timers.Cancellation deadlineTimer;
    private ForwardedAnswer answer;
    private int atUpstream;
    private int sentBack;
    private int unreached;
    private boolean needsBudget;
    private long retryAfterMilliseconds = USUAL_RETRY_AFTER_MILLISECONDS;

    EntryExchange(
            RequestId id,
            CallerRequest request,
            Route route,
            ServiceName service,
            EntryContext context,
            Consumer<CallerReply> reply,
            Consumer<EntryExchange> finished) {
        this.id = id;
        this.request = request;
        this.route = route;
        this.service = service;
        this.context = context;
        this.reply = reply;
        this.finished = finished;
        this.call = EntryCall.of(id, !route.idempotent());
        this.budget = context.budgets().of(service);
        this.limitAt = request.arrivedAt() + patience();
        this.deadlineTimer =
                context.timers().after(limitAt - now(), () -> perform(call.deadline()));
    }

    private long patience() {
        long patience = DEFAULT_PATIENCE_MILLISECONDS;
        if (request.patienceMilliseconds() > 0) {
            patience = request.patienceMilliseconds();
        }
        long timeout = route.timeoutMilliseconds();
        return timeout > 0 ? Math.min(timeout, patience) : patience;
    }

    void start() {
        budget.onRequest(now());
        double usual = context.usualWork().milliseconds(route.name());
        if (limitAt - now() < WaitingRoom.LEAST_WORK_SHARE * usual) {
            replyNotRun(RefusalReason.DEADLINE_TOO_SHORT);
            call.callerGone();
            release();
            return;
        }
        perform(call.begin());
    }

    RequestId id() {
        return id;
    }

    void answered(ForwardedAnswer received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt == null) {
            return;
        }
        boolean failed = received.getStatus() >= FIRST_SERVER_ERROR;
        attempt.target.estimate().outcome(failed, now());
        attempt.target.hear(received.getLoad(), now());
        if (!failed) {
            context.usualWork()
                    .answered(
                            route.name(),
                            received.getUpstreamMilliseconds(),
                            received.getSlownessPercent() / PERCENT,
                            kilobytes(received));
        }
        answer = received;
        boolean triedAgain =
                failed
                        && received.getStatus() != GATEWAY_TIMEOUT
                        && !received.getFailedBelow()
                        && route.idempotent()
                        && mayReachAnother();
        needsBudget = triedAgain;
        perform(triedAgain ? call.failed(attemptId(attempt)) : call.answered(attemptId(attempt)));
    }

    private double kilobytes(ForwardedAnswer received) {
        int bytes = received.getSerializedSize() + request.body().size() + USUAL_HEAD_BYTES;
        return bytes / BYTES_PER_KILOBYTE;
    }

    void refused(ForwardedRefusal received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt == null) {
            return;
        }
        atUpstream--;
        attempt.target.hear(received.getLoad(), now());
        if (received.getRetryAfterMilliseconds() > 0) {
            retryAfterMilliseconds = received.getRetryAfterMilliseconds();
        }
        switch (received.getReason()) {
            case QUEUE_FULL -> sentBack++;
            case OVERLOADED -> {
                atUpstream++;
                needsBudget = true;
            }
            case STALE_INCARNATION, DRAINING, NO_UPSTREAM -> {
                unreached++;
                attempt.target.takesNoCalls();
            }
            case QUARANTINED -> unreached = MOST_UNREACHED;
            default -> unreached++;
        }
        RefusalReason reason =
                received.getReason() == RefusalReason.STALE_INCARNATION
                        ? RefusalReason.NO_UPSTREAM
                        : received.getReason();
        perform(call.refused(attemptId(attempt), reason));
    }

    void failed(ForwardedFailure received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt != null) {
            attempt.target.estimate().outcome(true, now());
            needsBudget = true;
            perform(call.failed(attemptId(attempt)));
        }
    }

    void sealed(CallSealed received) {
        SentAttempt attempt = attempts.get(received.getAttempt());
        if (attempt != null) {
            unreached++;
            perform(call.sealResult(attemptId(attempt), received.getState()));
        }
    }

    /** The call was not sent: no connection could be opened. */
    void unsent(int number) {
        SentAttempt attempt = end(number);
        if (attempt != null) {
            atUpstream--;
            unreached++;
            attempt.target.estimate().avoidUntil(now() + UNREACHABLE_MILLISECONDS);
            perform(call.notSent(attemptId(attempt), RefusalReason.TARGET_UNREACHABLE));
        }
    }

    /** The link was lost over which calls to this target had been sent. */
    void linkLost(NodeId target) {
        for (SentAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.target.node().equals(target) && !attempt.isEnded()) {
                needsBudget = true;
                perform(call.connectionLost(attemptId(attempt)));
            }
        }
    }

    /** Tells the caller what is known now. */
    void end() {
        perform(call.deadline());
    }

    void callerGone() {
        context.metrics().count("caller-gone");
        perform(call.callerGone());
    }

    private void perform(List<EntryAction> actions) {
        for (EntryAction action : actions) {
            perform(action);
        }
        if (call.isFinished()) {
            release();
        }
    }

    private void perform(EntryAction action) {
        if (action instanceof EntryAction.Send send) {
            send(send.attempt());
        } else if (action instanceof EntryAction.Seal seal) {
            seal(seal.attempt());
        } else if (action instanceof EntryAction.Cancel cancel) {
            cancel(cancel.attempt());
        } else if (action instanceof EntryAction.AnswerCaller) {
            replyWithAnswer();
        } else if (action instanceof EntryAction.RefuseCaller refuse) {
            replyNotRun(refuse.reason());
        } else if (action instanceof EntryAction.UnknownToCaller unknown) {
            replyUnknown(unknown);
        }
    }

    private void send(AttemptId attempt) {
        if (attempt.attempt() > 1 && !mayGoOn()) {
            perform(call.noTarget(attempt, stopReason()));
            return;
        }
        List<FleetTarget> candidates = candidates();
        TargetChooser.Choice<FleetTarget> choice =
                context.chooser().choose(candidates, FleetTarget::estimate, work(), now());
        if (choice == null) {
            perform(call.noTarget(attempt, RefusalReason.NO_UPSTREAM));
            return;
        }
        FleetTarget target = choice.target();
        TargetId targetId =
                new TargetId(
                        target.node(),
                        new Incarnation(Math.max(1, target.link().targetIncarnation())));
        if (call.sent(attempt, targetId)) {
            boolean lastChoice = sentBack >= MOST_SENT_BACK || candidates.size() == 1;
            attempts.put(
                    attempt.attempt(), new SentAttempt(attempt.attempt(), target, targetId, now()));
            tried.add(target.node());
            boolean repeated = atUpstream > 0;
            atUpstream++;
            target.link().send(frame(attempt, choice, lastChoice, repeated));
        }
    }

    private RefusalReason stopReason() {
        return sentBack > MOST_SENT_BACK
                ? RefusalReason.QUEUE_FULL
                : RefusalReason.RETRY_BUDGET_EMPTY;
    }

    private boolean mayGoOn() {
        if (!needsBudget) {
            return sentBack <= MOST_SENT_BACK && unreached <= MOST_UNREACHED;
        }
        needsBudget = false;
        return mayReachAnother() && budget.tryTake(context.fleet().all().size(), now());
    }

    private boolean mayReachAnother() {
        return atUpstream < route.maximumAttempts();
    }

    private List<FleetTarget> candidates() {
        long now = now();
        List<FleetTarget> candidates = new ArrayList<>();
        for (FleetTarget target : context.fleet().targets(service)) {
            boolean possible = target.takesCalls() && !tried.contains(target.node());
            if (possible && !target.estimate().isAvoided(now)) {
                candidates.add(target);
            }
        }
        return candidates;
    }

    private WorkView work() {
        long goalAt =
                route.goalMilliseconds() > 0
                        ? request.arrivedAt() + route.goalMilliseconds()
                        : limitAt;
        double goal = Math.max(LEAST_GOAL_MILLISECONDS, (double) (goalAt - now()));
        return new WorkView(
                context.usualWork().milliseconds(route.name()),
                goal,
                context.usualWork().kilobytes(route.name()));
    }

    private ForwardedCall frame(
            AttemptId attempt,
            TargetChooser.Choice<FleetTarget> choice,
            boolean lastChoice,
            boolean repeated) {
        long now = now();
        double slowness = choice.target().estimate().steadySlowness();
        double spare = Math.min(MOST_SPARE_MILLISECONDS, choice.spareMilliseconds());
        long goalAt =
                route.goalMilliseconds() > 0
                        ? request.arrivedAt() + route.goalMilliseconds()
                        : limitAt;
        return ForwardedCall.newBuilder()
                .setSequence(id.sequence())
                .setAttempt(attempt.attempt())
                .setService(service.value())
                .setMethod(request.method())
                .setTarget(request.target())
                .addAllHeaders(request.headers())
                .setBody(request.body())
                .setCallerRequestId(request.id())
                .setRemainingMilliseconds((int) Math.max(1, limitAt - now))
                .setGoalMilliseconds((int) Math.max(0, goalAt - now))
                .setPriority(route.priority())
                .setNonIdempotent(!route.idempotent())
                .setCallerService(context.service().value())
                .setUsualMilliseconds(
                        (int) Math.round(context.usualWork().milliseconds(route.name())))
                .setLastChoice(lastChoice)
                .setExpectedSlownessPercent((int) Math.round(slowness * PERCENT))
                .setSpareMilliseconds((int) spare)
                .setRepeated(repeated)
                .build();
    }

    /** Only a call that may not be repeated is worth the wait for word about it. */
    private void seal(AttemptId attempt) {
        SentAttempt sent = attempts.get(attempt.attempt());
        sent.end();
        if (route.idempotent()) {
            perform(call.sealTimeout(attempt));
            return;
        }
        sent.target
                .link()
                .send(
                        CallSeal.newBuilder()
                                .setSequence(id.sequence())
                                .setAttempt(attempt.attempt())
                                .setTargetIncarnation(sent.target.link().targetIncarnation())
                                .build());
        context.timers().after(SEAL_TIMEOUT_MILLISECONDS, () -> perform(call.sealTimeout(attempt)));
    }

    private void cancel(AttemptId attempt) {
        attempts.get(attempt.attempt())
                .target
                .link()
                .send(CallCancel.newBuilder().setSequence(id.sequence()).build());
    }

    private void replyWithAnswer() {
        end(answer.getStatus(), "answered");
        reply.accept(
                new CallerReply(answer.getStatus(), answer.getHeadersList(), answer.getBody()));
    }

    private void replyNotRun(RefusalReason reason) {
        end(503, reason.name());
        context.metrics().count("refused", service.value() + "." + reason);
        double jitter = 0.75 + 0.5 * context.random().nextDouble();
        long retryAfter = Math.max(1, Math.round(retryAfterMilliseconds * jitter));
        reply.accept(CallerReply.notRun(reason.name(), retryAfter));
    }

    private void replyUnknown(EntryAction.UnknownToCaller unknown) {
        if (answer != null) {
            replyWithAnswer();
            return;
        }
        boolean late = unknown.step() == CallStep.DEADLINE;
        int status = late ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        end(status, unknown.step().wireName());
        context.metrics().count("unknown", unknown.step().wireName());
        reply.accept(
                CallerReply.own(
                        status,
                        "It is unknown whether the request ran: "
                                + unknown.step().wireName()
                                + " at "
                                + unknown.peer()
                                + "."));
    }

    private void end(int status, String outcome) {
        long took = now() - request.arrivedAt();
        context.metrics().duration("request." + service.value(), took);
        context.log()
                .event("request-ended")
                .with("request", request.id())
                .with("route", route.name())
                .with("service", service)
                .with("status", status)
                .with("outcome", outcome)
                .with("attempts", attempts.size())
                .with("sent_back", sentBack)
                .with("took_ms", took)
                .with("usual_ms", Math.round(context.usualWork().milliseconds(route.name())))
                .with("targets", tried)
                .write();
    }

    private void release() {
        deadlineTimer.cancel();
        attempts.values().forEach(SentAttempt::end);
        finished.accept(this);
    }

    private SentAttempt end(int number) {
        SentAttempt attempt = attempts.get(number);
        if (attempt != null) {
            attempt.end();
        }
        return attempt;
    }

    private AttemptId attemptId(SentAttempt attempt) {
        return new AttemptId(id, attempt.number);
    }

    private long now() {
        return context.timers().now();
    }
}
