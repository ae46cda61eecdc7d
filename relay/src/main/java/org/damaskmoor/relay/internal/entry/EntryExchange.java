package org.damaskmoor.relay.internal.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.retry.FleetRetryBudget;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.link.CallLink;
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
 * <p>Confined to the event loop. Invariant: the caller gets one reply, or none if it disconnects.
 * Outcomes are passed to it only if {@link #isSentTo} holds for their attempt and target.
 */
final class EntryExchange {
    /** Timeout of a request for which neither the caller nor the route sets one. */
    private static final long DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

    /** Retries of attempts that certainly reached no upstream; they need no retry budget. */
    private static final int MAX_UNREACHED = 6;

    /** Longest wait for the result of sealing an attempt whose link was lost. */
    private static final long SEAL_TIMEOUT_MILLISECONDS = 1500;

    /** Time for which an unreachable target is not chosen again. */
    private static final long UNREACHABLE_BACKOFF_MILLISECONDS = 500;

    /** Retry-After if no target has said when it expects free capacity. */
    private static final long DEFAULT_RETRY_AFTER_MILLISECONDS = 250;

    /** Typical size of a call's headers plus framing in both directions. */
    private static final int TYPICAL_HEADER_BYTES = 300;

    private static final double BYTES_PER_KILOBYTE = 1000;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double PERCENT = 100;

    private final AdmittedRequest admitted;
    private final RequestId id;
    private final CallerRequest request;
    private final Route route;
    private final ServiceName service;
    private final EntryContext context;
    private final ExchangeReplySender replies;
    private final ForwardedCallFactory calls;
    private final CallPlacement placement;
    private final Consumer<EntryExchange> onFinished;
    private final EntryCall call;
    private final FleetRetryBudget budget;
    private final Map<Integer, SentAttempt> attempts = new HashMap<>();
    private final Set<NodeId> triedNodes = new HashSet<>();
    private final long deadline;
    private final Timers.Cancellation deadlineTimer;
    private ForwardedAnswer answer;
    private int upstreamAttempts;
    private int fullRefusals;
    private int unreachedAttempts;
    private boolean needsRetryBudget;
    private long retryAfterMilliseconds = DEFAULT_RETRY_AFTER_MILLISECONDS;

    EntryExchange(
            AdmittedRequest admitted,
            EntryContext context,
            Consumer<CallerReply> reply,
            Consumer<EntryExchange> onFinished) {
        this.admitted = admitted;
        this.id = admitted.id();
        this.request = admitted.request();
        this.route = admitted.route();
        this.service = admitted.service();
        this.context = context;
        this.replies = new ExchangeReplySender(admitted, context, reply);
        this.onFinished = onFinished;
        this.call = EntryCall.of(id, !route.idempotent());
        this.budget = context.budgets().of(service);
        this.deadline = request.arrivedAt() + requestTimeout();
        this.calls = new ForwardedCallFactory(admitted, context, deadline);
        this.placement = new CallPlacement(admitted, context, calls.objectiveAt());
        this.deadlineTimer =
                context.timers().schedule(deadline - now(), () -> perform(call.deadline()));
    }

    private long requestTimeout() {
        long callerTimeout = DEFAULT_TIMEOUT_MILLISECONDS;
        if (request.timeoutMilliseconds() > 0) {
            callerTimeout = request.timeoutMilliseconds();
        }
        long routeTimeout = route.timeoutMilliseconds();
        return routeTimeout > 0 ? Math.min(routeTimeout, callerTimeout) : callerTimeout;
    }

    void start() {
        budget.onRequest(now());
        if (context.statistics().isDeadlineTooShort(route.name(), (double) (deadline - now()))) {
            replies.sendNotRun(
                    RefusalReason.DEADLINE_TOO_SHORT,
                    retryAfterMilliseconds,
                    triedNodes,
                    fullRefusals);
            call.callerDisconnected();
            release();
            return;
        }
        perform(call.begin());
    }

    RequestId id() {
        return id;
    }

    /** Whether the attempt was made and sent to the target, so that outcomes of it may come. */
    boolean isSentTo(int number, NodeId target) {
        SentAttempt attempt = attempts.get(number);
        return attempt != null && attempt.target.node().equals(target);
    }

    void onAnswered(ForwardedAnswer received) {
        SentAttempt attempt = attempts.get(received.getAttempt());
        if (attempt.isEnded()) {
            replies.logAnswerAfterEnd(attempt, received);
        }
        attempt.end();
        boolean failed = received.getStatus() >= FIRST_SERVER_ERROR;
        attempt.target.estimate().onOutcome(failed, now());
        attempt.target.updateLoad(received.getLoad(), now());
        context.egress().onAnswered(service, attempt.target, received.getLoad());
        if (!failed) {
            context.statistics()
                    .onAnswered(
                            route.name(),
                            received.getUpstreamMilliseconds(),
                            received.getSlownessPercent() / PERCENT,
                            (received.getSerializedSize()
                                            + request.body().size()
                                            + TYPICAL_HEADER_BYTES)
                                    / BYTES_PER_KILOBYTE);
        }
        answer = received;
        boolean retry =
                failed
                        && received.getStatus() != GATEWAY_TIMEOUT
                        && !received.getFailedBelow()
                        && route.idempotent()
                        && hasAttemptsLeft();
        needsRetryBudget = retry;
        perform(retry ? call.failed(attemptId(attempt)) : call.answered(attemptId(attempt)));
    }

    void onRefused(ForwardedRefusal received) {
        SentAttempt attempt = end(received.getAttempt());
        upstreamAttempts--;
        attempt.target.updateLoad(received.getLoad(), now());
        context.egress().onRefused(service, attempt, received);
        if (received.getRetryAfterMilliseconds() > 0) {
            retryAfterMilliseconds = received.getRetryAfterMilliseconds();
        }
        switch (received.getReason()) {
            case QUEUE_FULL -> fullRefusals++;
            case OVERLOADED -> {
                attempt.target.estimate().onOutcome(true, now());
                upstreamAttempts++;
                needsRetryBudget = true;
            }
            case STALE_INCARNATION, DRAINING, NO_UPSTREAM -> {
                unreachedAttempts++;
                attempt.target.markNotAccepting();
            }
            case QUARANTINED -> unreachedAttempts = MAX_UNREACHED + 1;
            default -> unreachedAttempts++;
        }
        RefusalReason reason =
                received.getReason() == RefusalReason.STALE_INCARNATION
                        ? RefusalReason.NO_UPSTREAM
                        : received.getReason();
        perform(call.refused(attemptId(attempt), reason));
    }

    void onFailed(ForwardedFailure received) {
        SentAttempt attempt = end(received.getAttempt());
        attempt.target.estimate().onOutcome(true, now());
        needsRetryBudget = true;
        perform(call.failed(attemptId(attempt)));
    }

    void onSealed(CallSealed received) {
        SentAttempt attempt = attempts.get(received.getAttempt());
        unreachedAttempts++;
        perform(call.sealResult(attemptId(attempt), received.getState()));
    }

    /** The attempt was not sent: no connection could be opened. */
    void onUnsent(int number) {
        SentAttempt attempt = end(number);
        if (attempt != null) {
            upstreamAttempts--;
            unreachedAttempts++;
            attempt.target.estimate().avoidUntil(now() + UNREACHABLE_BACKOFF_MILLISECONDS);
            perform(call.notSent(attemptId(attempt), RefusalReason.TARGET_UNREACHABLE));
        }
    }

    /** The link was lost over which attempts had been sent. */
    void onLinkLost(CallLink link) {
        for (SentAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.target.link() == link && !attempt.isEnded()) {
                needsRetryBudget = true;
                perform(call.connectionLost(attemptId(attempt)));
            }
        }
    }

    /** Ends the request now, with the outcome known so far. */
    void finishNow() {
        perform(call.deadline());
    }

    void onCallerDisconnected() {
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
            replies.sendAnswer(answer, triedNodes, fullRefusals);
        } else if (action instanceof EntryAction.RefuseCaller refuse) {
            replies.sendNotRun(refuse.reason(), retryAfterMilliseconds, triedNodes, fullRefusals);
        } else if (action instanceof EntryAction.UnknownToCaller unknown) {
            replyUnknown(unknown);
        }
    }

    private void send(AttemptId attempt) {
        if (attempt.attempt() > 1 && !mayRetry()) {
            perform(call.noTarget(attempt, exhaustedReason()));
            return;
        }
        Optional<CallPlacement.Placed> placed = placement.place(triedNodes, fullRefusals);
        if (placed.isEmpty()) {
            refuseUnplaced(attempt, placement.noTarget());
            return;
        }
        TargetChooser.Choice<FleetTarget> choice = placed.get().choice();
        FleetTarget target = choice.target();
        TargetId targetId =
                new TargetId(
                        target.node(),
                        new Incarnation(Math.max(1, target.link().targetIncarnation())));
        if (call.sent(attempt, targetId)) {
            boolean lastChoice = placed.get().lastChoice();
            attempts.put(
                    attempt.attempt(),
                    new SentAttempt(attempt.attempt(), target, targetId, now(), lastChoice));
            triedNodes.add(target.node());
            upstreamAttempts++;
            context.egress().onSent(admitted, target);
            target.link().send(calls.create(attempt.attempt(), choice, lastChoice));
        }
    }

    /** Refuses an attempt that no target may get. What a target told this request goes first. */
    private void refuseUnplaced(AttemptId attempt, CallPlacement.NoTarget cause) {
        if (triedNodes.isEmpty() && cause.retryAfterMilliseconds() > 0) {
            retryAfterMilliseconds = cause.retryAfterMilliseconds();
        }
        perform(call.noTarget(attempt, cause.reason()));
    }

    private RefusalReason exhaustedReason() {
        return fullRefusals > CallPlacement.MAX_FULL_REFUSALS
                ? RefusalReason.QUEUE_FULL
                : RefusalReason.RETRY_BUDGET_EMPTY;
    }

    private boolean mayRetry() {
        if (!needsRetryBudget) {
            return fullRefusals <= CallPlacement.MAX_FULL_REFUSALS
                    && unreachedAttempts <= MAX_UNREACHED;
        }
        needsRetryBudget = false;
        return hasAttemptsLeft()
                && budget.tryAcquire(admitted.rank(), context.fleet().all().size(), now());
    }

    private boolean hasAttemptsLeft() {
        return upstreamAttempts < route.maximumAttempts();
    }

    /** Seals a lost attempt; an idempotent request is sent again without waiting for a seal. */
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
            replies.sendAnswer(answer, triedNodes, fullRefusals);
        } else {
            replies.sendUnknown(unknown, triedNodes, fullRefusals);
        }
    }

    private void release() {
        deadlineTimer.cancel();
        attempts.values().forEach(SentAttempt::end);
        onFinished.accept(this);
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
