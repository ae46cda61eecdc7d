package org.damaskmoor.core.atmostonce.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.EntryCall;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.atmostonce.internal.Attempt.Knowledge;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * Keeps what is known of each attempt and derives the next step from all of them.
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
        return attempts.stream().anyMatch(Attempt::isOpen) ? waiting() : conclude();
    }

    @Override
    public List<EntryAction> notSent(AttemptId attempt, RefusalReason reason) {
        return provedNotRun(attempt, reason);
    }

    @Override
    public List<EntryAction> accepted(AttemptId attemptId) {
        Optional<Attempt> sent = find(attemptId, Knowledge.SENT);
        sent.ifPresent(attempt -> attempt.knowledge = Knowledge.ACCEPTED);
        return sent.isPresent() ? waiting() : List.of();
    }

    @Override
    public List<EntryAction> answered(AttemptId attemptId) {
        Optional<Attempt> attempt = find(attemptId).filter(known -> !known.isNotRun());
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().knowledge = Knowledge.ANSWERED;
        return finish(new EntryAction.AnswerCaller(attemptId));
    }

    @Override
    public List<EntryAction> refused(AttemptId attemptId, RefusalReason reason) {
        if (reason == RefusalReason.STALE_INCARNATION) {
            return gaveUp(attemptId, UnknownOutcomeStep.TARGET_RESTARTED);
        }
        return provedNotRun(attemptId, reason);
    }

    @Override
    public List<EntryAction> failed(AttemptId attemptId) {
        return gaveUp(attemptId, UnknownOutcomeStep.UPSTREAM);
    }

    private List<EntryAction> provedNotRun(AttemptId attemptId, RefusalReason reason) {
        Optional<Attempt> attempt = find(attemptId).filter(known -> !known.isNotRun());
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().knowledge = Knowledge.NOT_RUN;
        lastReason = reason;
        return sendOrWait();
    }

    private List<EntryAction> gaveUp(AttemptId attemptId, UnknownOutcomeStep step) {
        Optional<Attempt> attempt = find(attemptId).filter(Attempt::isOpen);
        if (attempt.isEmpty()) {
            return List.of();
        }
        attempt.get().markUnknown(step);
        return nonIdempotent ? conclude() : sendOrWait();
    }

    private List<EntryAction> sendOrWait() {
        boolean open = attempts.stream().anyMatch(Attempt::isOpen);
        return open || sendPending ? waiting() : send();
    }

    @Override
    public List<EntryAction> acceptanceTimeout(AttemptId attemptId) {
        return find(attemptId, Knowledge.SENT).map(this::seal).orElse(List.of());
    }

    @Override
    public List<EntryAction> connectionLost(AttemptId attemptId) {
        return find(attemptId)
                .filter(Attempt::isOpen)
                .filter(attempt -> attempt.knowledge != Knowledge.SEALING)
                .map(this::seal)
                .orElse(List.of());
    }

    private List<EntryAction> seal(Attempt attempt) {
        attempt.knowledge = Knowledge.SEALING;
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
            case SEALED -> provedNotRun(attemptId, RefusalReason.SEALED_AFTER_SILENCE);
            case HANDED_OVER, ANSWERED -> outcomeFollows(attemptId);
            case OTHER_INCARNATION -> gaveUp(attemptId, UnknownOutcomeStep.TARGET_RESTARTED);
            default -> gaveUp(attemptId, UnknownOutcomeStep.SEAL);
        };
    }

    private List<EntryAction> outcomeFollows(AttemptId attemptId) {
        Optional<Attempt> sealing = find(attemptId, Knowledge.SEALING);
        sealing.ifPresent(attempt -> attempt.knowledge = Knowledge.HANDED_OVER);
        return sealing.isPresent() ? waiting() : List.of();
    }

    @Override
    public List<EntryAction> sealTimeout(AttemptId attemptId) {
        if (find(attemptId, Knowledge.SEALING).isEmpty()) {
            return List.of();
        }
        return gaveUp(attemptId, UnknownOutcomeStep.SEAL);
    }

    @Override
    public List<EntryAction> deadline() {
        if (finished) {
            return List.of();
        }
        lastReason = RefusalReason.DEADLINE_PASSED;
        return conclude();
    }

    @Override
    public List<EntryAction> callerDisconnected() {
        if (finished) {
            return List.of();
        }
        finished = true;
        return cancellations();
    }

    @Override
    public boolean isFinished() {
        return finished;
    }

    /** Ends the request without an answer: "not run" only when that holds for all attempts. */
    private List<EntryAction> conclude() {
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
        actions.addAll(cancellations());
        return actions;
    }

    private List<EntryAction> cancellations() {
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

    private Optional<Attempt> find(AttemptId attemptId, Knowledge knowledge) {
        return find(attemptId).filter(attempt -> attempt.knowledge == knowledge);
    }

    private static List<EntryAction> waiting() {
        return List.of(new EntryAction.Wait());
    }
}
