package org.damaskmoor.core.atmostonce.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.EntryCall;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.atmostonce.internal.Attempt.State;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * Tracks the state of each attempt and derives the next actions from all of them.
 *
 * <p>Invariant: at most one Send is pending; a non-idempotent request has no Send pending while an
 * attempt may run. Not thread-safe.
 */
public final class AttemptTrackingEntryCall implements EntryCall {
    private final RequestId id;
    private final boolean nonIdempotent;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private RefusalReason lastReason = RefusalReason.DEADLINE_PASSED;
    private int lastAttempt;
    private boolean sendPending;
    private boolean finished;

    public AttemptTrackingEntryCall(RequestId id, boolean nonIdempotent) {
        this.id = Objects.requireNonNull(id, "id");
        this.nonIdempotent = nonIdempotent;
    }

    @Override
    public List<EntryAction> begin() {
        return lastAttempt == 0 ? send() : List.of();
    }

    @Override
    public List<EntryAction> hedge() {
        return nonIdempotent ? List.of() : send();
    }

    private List<EntryAction> send() {
        if (finished || sendPending) {
            return List.of();
        }
        sendPending = true;
        lastAttempt++;
        return List.of(new EntryAction.Send(new AttemptId(id, lastAttempt)));
    }

    @Override
    public boolean sent(AttemptId attempt, TargetId target) {
        if (!isPending(attempt)) {
            return false;
        }
        sendPending = false;
        attempts.add(new Attempt(attempt, target));
        return true;
    }

    private boolean isPending(AttemptId attempt) {
        return !finished && sendPending && attempt.equals(new AttemptId(id, lastAttempt));
    }

    @Override
    public List<EntryAction> noTarget(AttemptId attempt, RefusalReason reason) {
        if (!isPending(attempt)) {
            return List.of();
        }
        sendPending = false;
        lastReason = reason;
        return attempts.stream().anyMatch(Attempt::isOpen) ? waitAction() : finishWithoutAnswer();
    }

    @Override
    public List<EntryAction> notSent(AttemptId attempt, RefusalReason reason) {
        return onNotRun(attempt, reason);
    }

    @Override
    public List<EntryAction> accepted(AttemptId attemptId) {
        Optional<Attempt> sent = find(attemptId, State.SENT);
        sent.ifPresent(attempt -> attempt.state = State.ACCEPTED);
        return sent.isPresent() ? waitAction() : List.of();
    }

    @Override
    public List<EntryAction> answered(AttemptId attemptId) {
        Optional<Attempt> attempt = find(attemptId).filter(known -> !known.isNotRun());
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().state = State.ANSWERED;
        return finish(new EntryAction.AnswerCaller(attemptId));
    }

    @Override
    public List<EntryAction> refused(AttemptId attemptId, RefusalReason reason) {
        if (reason == RefusalReason.STALE_INCARNATION) {
            return onUnknownOutcome(attemptId, UnknownOutcomeStep.TARGET_RESTARTED);
        }
        return onNotRun(attemptId, reason);
    }

    @Override
    public List<EntryAction> failed(AttemptId attemptId) {
        return onUnknownOutcome(attemptId, UnknownOutcomeStep.UPSTREAM);
    }

    private List<EntryAction> onNotRun(AttemptId attemptId, RefusalReason reason) {
        Optional<Attempt> attempt = find(attemptId).filter(known -> !known.isNotRun());
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().state = State.NOT_RUN;
        lastReason = reason;
        return sendOrWait();
    }

    private List<EntryAction> onUnknownOutcome(AttemptId attemptId, UnknownOutcomeStep step) {
        Optional<Attempt> attempt = find(attemptId).filter(Attempt::isOpen);
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().markUnknown(step);
        return nonIdempotent ? finishWithoutAnswer() : sendOrWait();
    }

    private List<EntryAction> sendOrWait() {
        boolean open = attempts.stream().anyMatch(Attempt::isOpen);
        return open || sendPending ? waitAction() : send();
    }

    @Override
    public List<EntryAction> acceptanceTimeout(AttemptId attemptId) {
        return find(attemptId, State.SENT).map(this::seal).orElse(List.of());
    }

    @Override
    public List<EntryAction> connectionLost(AttemptId attemptId) {
        return find(attemptId)
                .filter(Attempt::isOpen)
                .filter(attempt -> attempt.state != State.SEALING)
                .map(this::seal)
                .orElse(List.of());
    }

    private List<EntryAction> seal(Attempt attempt) {
        attempt.state = State.SEALING;
        List<EntryAction> actions = new ArrayList<>(2);
        actions.add(new EntryAction.Seal(attempt.id, attempt.target));
        if (!nonIdempotent) {
            actions.addAll(send());
        }
        return actions;
    }

    @Override
    public List<EntryAction> sealResult(AttemptId attemptId, SealState state) {
        return switch (state) {
            case SEALED -> onNotRun(attemptId, RefusalReason.SEALED_AFTER_SILENCE);
            case HANDED_OVER, ANSWERED -> onHandedOver(attemptId);
            case OTHER_INCARNATION ->
                    onUnknownOutcome(attemptId, UnknownOutcomeStep.TARGET_RESTARTED);
            default -> onUnknownOutcome(attemptId, UnknownOutcomeStep.SEAL);
        };
    }

    private List<EntryAction> onHandedOver(AttemptId attemptId) {
        Optional<Attempt> sealing = find(attemptId, State.SEALING);
        sealing.ifPresent(attempt -> attempt.state = State.HANDED_OVER);
        return sealing.isPresent() ? waitAction() : List.of();
    }

    @Override
    public List<EntryAction> sealTimeout(AttemptId attemptId) {
        if (find(attemptId, State.SEALING).isEmpty()) {
            return List.of();
        }
        return onUnknownOutcome(attemptId, UnknownOutcomeStep.SEAL);
    }

    @Override
    public List<EntryAction> deadline() {
        if (finished) {
            return List.of();
        }
        lastReason = RefusalReason.DEADLINE_PASSED;
        return finishWithoutAnswer();
    }

    @Override
    public List<EntryAction> callerDisconnected() {
        if (finished) {
            return List.of();
        }
        finished = true;
        return cancelOpenAttempts();
    }

    @Override
    public boolean isFinished() {
        return finished;
    }

    /** Ends the request without an answer: as "not run" only if that is proved for all attempts. */
    private List<EntryAction> finishWithoutAnswer() {
        for (Attempt attempt : attempts) {
            if (!attempt.isNotRun()) {
                return finish(
                        new EntryAction.UnknownToCaller(
                                attempt.unknownStep, attempt.target.node()));
            }
        }
        return finish(new EntryAction.RefuseCaller(lastReason));
    }

    private List<EntryAction> finish(EntryAction outcome) {
        finished = true;
        List<EntryAction> actions = new ArrayList<>(1 + attempts.size());
        actions.add(outcome);
        actions.addAll(cancelOpenAttempts());
        return actions;
    }

    private List<EntryAction> cancelOpenAttempts() {
        List<EntryAction> actions = new ArrayList<>(attempts.size());
        for (Attempt attempt : attempts) {
            if (attempt.isOpen()) {
                actions.add(new EntryAction.Cancel(attempt.id, attempt.target));
            }
        }
        return actions;
    }

    private Optional<Attempt> find(AttemptId attemptId) {
        if (finished) {
            return Optional.empty();
        }
        return attempts.stream().filter(attempt -> attempt.id.equals(attemptId)).findFirst();
    }

    private Optional<Attempt> find(AttemptId attemptId, State state) {
        return find(attemptId).filter(attempt -> attempt.state == state);
    }

    private static List<EntryAction> waitAction() {
        return List.of(new EntryAction.Wait());
    }
}
