package org.damaskmoor.relay.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.EntryCall;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.placement.CallProfile;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.retry.FleetRetryBudget;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
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

    /** Least time to the objective that placement goes by, once the objective has passed. */
    private static final double LEAST_OBJECTIVE_MILLISECONDS = 50;

    /** Headers of a call and framing of both ways, in bytes. */
    private static final int USUAL_HEAD_BYTES = 300;

    private static final double BYTES_PER_KILOBYTE = 1000;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double PERCENT = 100;

    private final RequestId id;
    private final CallerRequest request;
    private final Route route;
    private final ServiceName service;
    private final EntryContext context;
    private final ExchangeReplySender replies;
    private final ForwardedCallFactory frames;
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
        this.replies = new ExchangeReplySender(request, route, service, context, reply);
        this.finished = finished;
        this.call = EntryCall.of(id, !route.idempotent());
        this.budget = context.budgets().of(service);
        this.limitAt = request.arrivedAt() + patience();
        this.frames =
                new ForwardedCallFactory(id.sequence(), request, route, service, context, limitAt);
        this.deadlineTimer =
                context.timers().schedule(limitAt - now(), () -> perform(call.deadline()));
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
        if (context.usualWork().isDeadlineTooShort(route.name(), (double) (limitAt - now()))) {
            replies.sendNotRun(
                    RefusalReason.DEADLINE_TOO_SHORT, retryAfterMilliseconds, tried, sentBack);
            call.callerDisconnected();
            release();
            return;
        }
        perform(call.begin());
    }

    RequestId id() {
        return id;
    }

    void onAnswered(ForwardedAnswer received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt == null) {
            return;
        }
        boolean failed = received.getStatus() >= FIRST_SERVER_ERROR;
        attempt.target.estimate().onOutcome(failed, now());
        attempt.target.updateLoad(received.getLoad(), now());
        if (!failed) {
            context.usualWork()
                    .onAnswered(
                            route.name(),
                            received.getUpstreamMilliseconds(),
                            received.getSlownessPercent() / PERCENT,
                            (received.getSerializedSize()
                                            + request.body().size()
                                            + USUAL_HEAD_BYTES)
                                    / BYTES_PER_KILOBYTE);
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

    void onRefused(ForwardedRefusal received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt == null) {
            return;
        }
        atUpstream--;
        attempt.target.updateLoad(received.getLoad(), now());
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
                attempt.target.markNotAccepting();
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

    void onFailed(ForwardedFailure received) {
        SentAttempt attempt = end(received.getAttempt());
        if (attempt != null) {
            attempt.target.estimate().onOutcome(true, now());
            needsBudget = true;
            perform(call.failed(attemptId(attempt)));
        }
    }

    void onSealed(CallSealed received) {
        SentAttempt attempt = attempts.get(received.getAttempt());
        if (attempt != null) {
            unreached++;
            perform(call.sealResult(attemptId(attempt), received.getState()));
        }
    }

    /** The call was not sent: no connection could be opened. */
    void onUnsent(int number) {
        SentAttempt attempt = end(number);
        if (attempt != null) {
            atUpstream--;
            unreached++;
            attempt.target.estimate().avoidUntil(now() + UNREACHABLE_MILLISECONDS);
            perform(call.notSent(attemptId(attempt), RefusalReason.TARGET_UNREACHABLE));
        }
    }

    /** The link was lost over which calls to this target had been sent. */
    void onLinkLost(NodeId target) {
        for (SentAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.target.node().equals(target) && !attempt.isEnded()) {
                needsBudget = true;
                perform(call.connectionLost(attemptId(attempt)));
            }
        }
    }

    /** Tells the caller what is known now. */
    void finishNow() {
        perform(call.deadline());
    }

    void onCallerGone() {
        context.metrics().count("caller-gone");
        perform(call.callerDisconnected());
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
            replies.sendAnswer(answer, tried, sentBack);
        } else if (action instanceof EntryAction.RefuseCaller refuse) {
            replies.sendNotRun(refuse.reason(), retryAfterMilliseconds, tried, sentBack);
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
            atUpstream++;
            target.link().send(frames.create(attempt.attempt(), choice, lastChoice));
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
        return mayReachAnother() && budget.tryAcquire(context.fleet().all().size(), now());
    }

    private boolean mayReachAnother() {
        return atUpstream < route.maximumAttempts();
    }

    private List<FleetTarget> candidates() {
        long now = now();
        List<FleetTarget> candidates = new ArrayList<>();
        for (FleetTarget target : context.fleet().targets(service)) {
            boolean possible = target.isAcceptingCalls() && !tried.contains(target.node());
            if (possible && !target.estimate().isAvoided(now)) {
                candidates.add(target);
            }
        }
        return candidates;
    }

    private CallProfile work() {
        double objective =
                Math.max(LEAST_OBJECTIVE_MILLISECONDS, (double) (frames.objectiveAt() - now()));
        return new CallProfile(
                context.usualWork().meanMilliseconds(route.name()),
                objective,
                context.usualWork().meanKilobytes(route.name()));
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
        context.timers()
                .schedule(SEAL_TIMEOUT_MILLISECONDS, () -> perform(call.sealTimeout(attempt)));
    }

    private void cancel(AttemptId attempt) {
        attempts.get(attempt.attempt())
                .target
                .link()
                .send(CallCancel.newBuilder().setSequence(id.sequence()).build());
    }

    private void replyUnknown(EntryAction.UnknownToCaller unknown) {
        if (answer != null) {
            replies.sendAnswer(answer, tried, sentBack);
        } else {
            replies.sendUnknown(unknown, tried, sentBack);
        }
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
