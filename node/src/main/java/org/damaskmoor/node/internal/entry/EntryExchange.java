package org.damaskmoor.node.internal.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.EntryCall;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.retry.DeadlineBudget;
import org.damaskmoor.core.routing.Choice;
import org.damaskmoor.core.routing.KeyScope;
import org.damaskmoor.core.routing.RoutingRequest;
import org.damaskmoor.node.internal.http.CallerReply;
import org.damaskmoor.node.internal.http.OutcomeReplies;
import org.damaskmoor.node.internal.time.Timers;
import org.damaskmoor.schema.mesh.CallAnswer;
import org.damaskmoor.schema.mesh.CallFailed;
import org.damaskmoor.schema.mesh.CallRefused;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * One caller request at its entry node, from its arrival to its response.
 *
 * <p>Performs the actions of its {@link EntryCall}: chooses targets, sends and seals calls, runs
 * the timers, and reports the outcome of each attempt to the router.
 *
 * <p>Confined to the caller event loop. Invariant: the caller gets exactly one response, or none if
 * it has disconnected.
 */
final class EntryExchange {
    private final RequestId id;
    private final CallTemplate template;
    private final EntryCall call;
    private final ServiceRuntime runtime;
    private final ExchangeContext context;
    private final Consumer<CallerReply> reply;
    private final Map<Integer, SentAttempt> attempts = new HashMap<>();
    private final Set<NodeId> triedNodes = new HashSet<>();
    private final Timers.Cancellation deadlineTimer;
    private Timers.Cancellation hedgeTimer = () -> {};
    private CallAnswer answer;
    private final RetryDecision retry;
    private int retryAfterMilliseconds;

    EntryExchange(
            RequestId id,
            CallTemplate template,
            ServiceRuntime runtime,
            ExchangeContext context,
            Consumer<CallerReply> reply) {
        this.id = id;
        this.template = template;
        this.call = EntryCall.of(id, template.call().getNonIdempotent());
        this.runtime = runtime;
        this.context = context;
        this.reply = reply;
        this.retry = new RetryDecision(runtime.retryBudget(), template.call().getNonIdempotent());
        this.deadlineTimer =
                context.timers().schedule(remainingMilliseconds(), () -> perform(call.deadline()));
    }

    void start() {
        runtime.retryBudget().onRequest(context.now());
        perform(call.begin());
        scheduleHedge();
    }

    RequestId id() {
        return id;
    }

    boolean isFinished() {
        return call.isFinished();
    }

    void onAccepted(int attempt) {
        findAttempt(attempt).ifPresent(SentAttempt::stopTimer);
        perform(call.accepted(attemptId(attempt)));
    }

    void onAnswer(CallAnswer received) {
        int attempt = received.getAttempt();
        findAttempt(attempt)
                .ifPresent(
                        ended ->
                                ended.endAnswered(
                                        runtime, received.getLoad(), received.getStatus()));
        answer = received;
        perform(call.answered(attemptId(attempt)));
    }

    void onRefused(CallRefused received) {
        int attempt = received.getAttempt();
        findAttempt(attempt).ifPresent(ended -> ended.endRefused(runtime, received));
        retry.onRefused(received.getReason(), received.getRefusedBelow());
        retryAfterMilliseconds = received.getRetryAfterMilliseconds();
        perform(call.refused(attemptId(attempt), received.getReason()));
    }

    void onFailed(CallFailed received) {
        findAttempt(received.getAttempt()).ifPresent(ended -> ended.endFailed(runtime));
        retry.onFailed();
        perform(call.failed(attemptId(received.getAttempt())));
    }

    void onSealResult(int attempt, SealState state) {
        findAttempt(attempt).ifPresent(SentAttempt::stopTimer);
        retry.onRefused(RefusalReason.SEALED_AFTER_SILENCE, false);
        perform(call.sealResult(attemptId(attempt), state));
    }

    void onCallUnsent(int attempt, RefusalReason reason) {
        findAttempt(attempt)
                .ifPresent(
                        ended -> {
                            ended.endFailed(runtime);
                            runtime.router().onUnreachable(ended.targetId(), context.now());
                        });
        retry.onRefused(reason, false);
        perform(call.notSent(attemptId(attempt), reason));
    }

    void onSealUnsent(int attempt) {
        perform(call.sealTimeout(attemptId(attempt)));
    }

    /**
     * Handles a lost connection to the target; attempts sent before the given time may or may not
     * have arrived.
     */
    void onConnectionLost(NodeId target, long sentBeforeNanoseconds) {
        for (SentAttempt attempt : List.copyOf(attempts.values())) {
            boolean affected =
                    attempt.targetId().node().equals(target)
                            && !attempt.isEnded()
                            && attempt.sentNanoseconds() < sentBeforeNanoseconds;
            if (affected) {
                attempt.stopTimer();
                perform(call.connectionLost(attemptId(attempt.number())));
            }
        }
    }

    void onCallerDisconnected() {
        perform(call.callerDisconnected());
    }

    private void perform(List<EntryAction> actions) {
        for (EntryAction action : actions) {
            perform(action);
        }
        if (call.isFinished()) {
            cleanUp();
        }
    }

    private void perform(EntryAction action) {
        if (action instanceof EntryAction.Send send) {
            send(send.attempt());
        } else if (action instanceof EntryAction.Seal seal) {
            seal(seal.attempt(), seal.target());
        } else if (action instanceof EntryAction.Cancel cancel) {
            cancel(cancel.attempt(), cancel.target());
        } else if (action instanceof EntryAction.AnswerCaller) {
            answerCaller();
        } else if (action instanceof EntryAction.RefuseCaller refuse) {
            context.refuse(template, refuse.reason(), retryAfterMilliseconds, reply);
        } else if (action instanceof EntryAction.UnknownToCaller unknown) {
            context.recordUnknown(template, unknown.step(), unknown.peer());
            reply.accept(OutcomeReplies.unknown(unknown.step().wireName(), unknown.peer().value()));
        }
    }

    private void send(AttemptId attempt) {
        long now = context.now();
        if (attempt.attempt() > 1
                && !retry.tryAcquireAttempt(attempt.attempt(), remaining(), now)) {
            perform(call.noTarget(attempt, retry.refusalReason()));
            return;
        }
        Optional<Choice> choice = choose();
        if (choice.isEmpty()) {
            perform(call.noTarget(attempt, retry.refusalReason()));
            return;
        }
        TargetId target = choice.get().target().id();
        if (call.sent(attempt, target)) {
            sendTo(attempt, choice.get());
        }
    }

    private Optional<Choice> choose() {
        long now = context.now();
        String key = template.call().getIdempotencyKey();
        boolean routedByKey = template.call().getNonIdempotent() && !key.isEmpty();
        if (routedByKey) {
            KeyScope scope =
                    template.call().getClaim() ? KeyScope.REGION_FIRST : KeyScope.ALL_REGIONS;
            return runtime.router().chooseForKey(key, scope, triedNodes, now);
        }
        RoutingRequest routingRequest =
                new RoutingRequest(
                        template.call().getNonIdempotent(), template.deadlineNanoseconds() - now);
        return runtime.router().choose(routingRequest, triedNodes, now);
    }

    private void sendTo(AttemptId attempt, Choice choice) {
        long now = context.now();
        SentAttempt sent = new SentAttempt(attempt.attempt(), choice, context.clock());
        attempts.put(attempt.attempt(), sent);
        triedNodes.add(choice.target().id().node());
        runtime.router().onSent(choice.target().id(), now);
        sent.startTimer(
                context.timers(),
                context.acceptanceTimeoutMilliseconds(),
                () -> perform(call.acceptanceTimeout(attempt)));
        context.frameSender().send(choice.target().id().node(), frame(attempt, choice));
    }

    private MeshFrame frame(AttemptId attempt, Choice choice) {
        DeadlineBudget remainingAtTarget =
                remaining().minus(choice.distance().roundTripNanoseconds());
        return MeshFrame.newBuilder()
                .setCall(
                        template.call().toBuilder()
                                .setAttempt(attempt.attempt())
                                .setTargetIncarnation(choice.target().id().incarnation().value())
                                .setDeadlineMilliseconds(remainingAtTarget.toMilliseconds()))
                .build();
    }

    private void seal(AttemptId attempt, TargetId target) {
        SentAttempt sent = attempts.get(attempt.attempt());
        MeshFrame frame =
                EntryFrames.seal(attempt, target, template.call().getDeadlineEpochMilliseconds());
        context.frameSender().sendOverLiveConnection(target.node(), frame, sent.sentNanoseconds());
        sent.startTimer(
                context.timers(),
                context.acceptanceTimeoutMilliseconds(),
                () -> perform(call.sealTimeout(attempt)));
    }

    private void cancel(AttemptId attempt, TargetId target) {
        context.frameSender().send(target.node(), EntryFrames.cancel(attempt));
    }

    private void answerCaller() {
        reply.accept(
                new CallerReply(answer.getStatus(), answer.getHeadersList(), answer.getBody()));
        context.recordAnswered(template, answer.getStatus());
    }

    private void scheduleHedge() {
        OptionalLong delay =
                runtime.hedgePolicy()
                        .delayNanoseconds(template.call().getNonIdempotent(), context.now());
        if (delay.isPresent()) {
            long milliseconds = 1 + TimeUnit.NANOSECONDS.toMillis(delay.getAsLong());
            hedgeTimer = context.timers().schedule(milliseconds, this::hedge);
        }
    }

    private void hedge() {
        if (!call.isFinished() && runtime.hedgePolicy().tryHedge(context.now())) {
            retry.markNextPrepaid();
            perform(call.hedge());
        }
    }

    private void cleanUp() {
        deadlineTimer.cancel();
        hedgeTimer.cancel();
        attempts.values().forEach(attempt -> attempt.abandon(runtime));
        context.finished(this);
    }

    private Optional<SentAttempt> findAttempt(int attempt) {
        return Optional.ofNullable(attempts.get(attempt));
    }

    private AttemptId attemptId(int attempt) {
        return new AttemptId(id, attempt);
    }

    private long remainingMilliseconds() {
        return remaining().toMilliseconds();
    }

    private DeadlineBudget remaining() {
        return DeadlineBudget.until(template.deadlineNanoseconds(), context.now());
    }
}
