package org.damaskmoor.node.internal.target;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.damaskmoor.core.admission.AdmissionController;
import org.damaskmoor.core.admission.AdmissionDecision;
import org.damaskmoor.core.admission.AdmissionOutcome;
import org.damaskmoor.core.admission.DequeuedRequests;
import org.damaskmoor.core.admission.Refusal;
import org.damaskmoor.core.atmostonce.Acceptance;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.CancelResult;
import org.damaskmoor.core.atmostonce.HandOverResult;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.CallAnswer;
import org.damaskmoor.schema.mesh.CancelCall;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealRequest;
import org.damaskmoor.schema.mesh.SealState;

/**
 * Handles calls from entry nodes at the target: admits or refuses each by the current load, and
 * hands admitted calls over to the upstream.
 *
 * <p>Confined to the upstream event loop. Invariants: each call that is not a duplicate ends in
 * exactly one of answer, refusal and failure; a refused call was not handed over; each entry node
 * that waits for a call gets the outcome over the connection on which its last message about the
 * call arrived.
 */
public final class TargetDispatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int FIRST_SERVER_ERROR = 500;

    private final TargetLedger ledger;
    private final AdmissionController admission;
    private final UpstreamRegistration upstream;
    private final UpstreamClient client;
    private final ClaimTracker claims;
    private final CrashDetector crashDetector;
    private final TargetTiming timing;
    private final Map<RequestId, OpenCall> openCalls = new HashMap<>();
    private final PendingReplies pendingReplies;

    TargetDispatcher(
            TargetLedger ledger,
            AdmissionController admission,
            UpstreamRegistration upstream,
            UpstreamClient client,
            ClaimService claims,
            CrashDetector crashDetector,
            TargetTiming timing,
            BiFunction<NodeId, LoadReport, LoadReport> reports) {
        this.ledger = ledger;
        this.admission = admission;
        this.upstream = upstream;
        this.client = client;
        this.claims = new ClaimTracker(claims);
        this.crashDetector = crashDetector;
        this.timing = timing;
        this.pendingReplies =
                new PendingReplies(peer -> reports.apply(peer, admission.loadReport(timing.now())));
    }

    /** Handles a frame from an entry node. */
    public void onFrame(MeshLink link, MeshFrame frame) {
        switch (frame.getBodyCase()) {
            case CALL -> onCall(link, frame.getCall());
            case SEAL -> onSeal(link, frame.getSeal());
            case CANCEL -> onCancel(frame.getCancel());
            default ->
                    throw new IllegalArgumentException(
                            "not a frame for a target: " + frame.getBodyCase());
        }
    }

    /**
     * Hands over queued calls that may run now and refuses those that waited too long. Call every
     * few milliseconds.
     */
    public void tick() {
        handOverAdmitted();
        ledger.expire(timing.now());
    }

    private void handOverAdmitted() {
        DequeuedRequests dequeued = admission.dequeue(timing.now());
        dequeued.refused().forEach(this::refuseAdmission);
        dequeued.admitted().forEach(admitted -> handOver(admitted.id()));
    }

    /** Whether no call is queued or running. */
    public boolean isIdle() {
        return openCalls.isEmpty();
    }

    private void onCall(MeshLink link, Call call) {
        RequestId id = TargetFrames.requestId(call.getRequestId());
        PendingReply pending = new PendingReply(id, call.getAttempt(), link);
        long deadline = timing.deadline(call);
        Acceptance acceptance =
                ledger.accept(
                        key(id, call),
                        new Incarnation(Math.max(1, call.getTargetIncarnation())),
                        timing.acceptUntil(call),
                        timing.retainUntil(call),
                        timing.now());
        switch (acceptance.result()) {
            case ACCEPTED -> onNewCall(pending, call, deadline);
            case DUPLICATE, JOINED -> onDuplicate(pending, acceptance);
            case SEALED_ALREADY -> link.send(TargetFrames.sealed(pending, SealState.SEALED));
            case WRONG_INCARNATION ->
                    pendingReplies.sendRefusal(
                            pending, CallRefusal.of(RefusalReason.STALE_INCARNATION));
            case FULL ->
                    pendingReplies.sendRefusal(pending, CallRefusal.of(RefusalReason.NODE_BUSY));
            case TOO_LATE -> logger.atInfo().log("event=call-too-late request=%s", id);
            case DEADLINE_PASSED ->
                    pendingReplies.sendRefusal(
                            pending, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
            default ->
                    throw new IllegalStateException(
                            "unhandled acceptance result " + acceptance.result());
        }
    }

    private static CallKey key(RequestId id, Call call) {
        if (!call.getNonIdempotent() || call.getIdempotencyKey().isEmpty()) {
            return CallKey.of(id);
        }
        return new CallKey(
                id,
                Optional.of(
                        new IdempotencyKey(
                                new ServiceName(call.getService()),
                                new CallerName(call.getCaller()),
                                call.getIdempotencyKey())));
    }

    private void onNewCall(PendingReply pending, Call call, long deadline) {
        RequestId id = pending.id();
        OpenCall openCall = new OpenCall(id, call, deadline);
        openCalls.put(id, openCall);
        pendingReplies.add(pending);
        pending.link().send(TargetFrames.accepted(pending));
        Optional<CallRefusal> quarantined = crashDetector.quarantineRefusal(call);
        if (!upstream.serves(call.getService())) {
            refuse(id, CallRefusal.of(RefusalReason.UPSTREAM_UNREACHABLE));
        } else if (quarantined.isPresent()) {
            refuse(id, quarantined.get());
        } else if (ClaimTracker.requiresClaim(call)) {
            claims.claim(openCall, claim -> onClaim(id, claim));
        } else {
            offerForAdmission(id);
        }
    }

    private void onClaim(RequestId id, ClaimService.ClaimResult claim) {
        switch (claim) {
            case GRANTED -> offerForAdmission(id);
            case TAKEN -> onKeyTaken(id);
            case UNAVAILABLE -> refuse(id, CallRefusal.of(RefusalReason.CLAIM_UNAVAILABLE));
            default -> throw new IllegalStateException("unhandled claim result " + claim);
        }
    }

    /**
     * An earlier request with the same key may have run. "Not run" would be true of this request,
     * but a caller that resends asks about the earlier one, so the reply is "unknown".
     */
    private void onKeyTaken(RequestId id) {
        if (ledger.handOver(id, timing.now()) == HandOverResult.RUN) {
            replyUnknown(id, "an earlier request with this key may have run; ask the service");
        } else {
            replyRefused(id, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
        }
    }

    private void offerForAdmission(RequestId id) {
        OpenCall call = openCalls.get(id);
        if (call == null) {
            return;
        }
        AdmissionDecision decision = admission.offer(call.toAdmissionRequest(), timing.now());
        if (decision instanceof AdmissionDecision.Admitted) {
            handOver(id);
        } else if (decision instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(this::refuseAdmission);
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            refuseAdmission(refused.refusal());
        }
    }

    private void handOver(RequestId id) {
        OpenCall call = openCalls.get(id);
        HandOverResult result = ledger.handOver(id, timing.now());
        if (call != null && result == HandOverResult.RUN) {
            run(call);
            return;
        }
        finishAdmission(id, timing.now(), AdmissionOutcome.CANCELLED);
        if (result == HandOverResult.DEADLINE_PASSED) {
            replyRefused(id, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
        }
        discard(id);
    }

    private void run(OpenCall call) {
        long started = timing.now();
        Optional<UpstreamAddress> address = upstream.address();
        if (address.isEmpty()) {
            onOutcome(call, started, new UpstreamOutcome.NotRun(true, false));
            return;
        }
        crashDetector.onHandOver(call.id(), call.call());
        client.send(
                address.get(),
                call.call(),
                call.remainingMilliseconds(started),
                outcome -> onOutcome(call, started, outcome));
    }

    private void onOutcome(OpenCall call, long started, UpstreamOutcome outcome) {
        crashDetector.onOutcome(call.id(), outcome);
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            onAnswered(call, started, answered.answer());
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun) {
            onNotRun(call.id(), started, notRun);
        } else if (outcome instanceof UpstreamOutcome.Failed failed) {
            onFailed(call.id(), started, failed);
        }
        handOverAdmitted();
    }

    private void onAnswered(OpenCall call, long started, CallAnswer answer) {
        RequestId id = call.id();
        boolean serverError = answer.getStatus() >= FIRST_SERVER_ERROR;
        finishAdmission(
                id, started, serverError ? AdmissionOutcome.FAILED : AdmissionOutcome.ANSWERED);
        boolean keepAnswer = call.call().getNonIdempotent();
        ledger.answered(id, keepAnswer ? answer.toByteString() : ByteString.EMPTY);
        long microseconds = TimeUnit.NANOSECONDS.toMicros(timing.now() - started);
        CallAnswer answerWithDuration =
                answer.toBuilder().setUpstreamMicroseconds((int) microseconds).build();
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            pendingReplies.completeWithAnswer(sharing, answerWithDuration);
        }
        openCalls.remove(id);
        claims.onMayHaveRun(id);
    }

    private void onNotRun(RequestId id, long started, UpstreamOutcome.NotRun notRun) {
        finishAdmission(
                id,
                started,
                notRun.unreachable() ? AdmissionOutcome.FAILED : AdmissionOutcome.SHED);
        RefusalReason reason =
                notRun.unreachable()
                        ? RefusalReason.UPSTREAM_UNREACHABLE
                        : RefusalReason.OVERLOADED;
        ledger.returned(id);
        refuse(id, new CallRefusal(reason, 0, notRun.refusedBelow()));
    }

    private void onFailed(RequestId id, long started, UpstreamOutcome.Failed failed) {
        finishAdmission(id, started, AdmissionOutcome.FAILED);
        logger.atWarning().log(
                "event=upstream-failed step=hand-over peer=upstream request=%s detail=%s",
                id, failed.detail());
        replyUnknown(id, failed.detail());
    }

    /**
     * Replies to every entry node that waits for the call that it is unknown whether the call ran.
     */
    private void replyUnknown(RequestId id, String detail) {
        ledger.failed(id);
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            pendingReplies.completeWithFailure(sharing, detail);
        }
        openCalls.remove(id);
        claims.onMayHaveRun(id);
    }

    private void finishAdmission(RequestId id, long started, AdmissionOutcome outcome) {
        long now = timing.now();
        admission.onFinished(id, now - started, outcome, now);
    }

    private void refuseAdmission(Refusal refusal) {
        refuse(
                refusal.id(),
                new CallRefusal(refusal.reason(), (int) refusal.retryAfterMilliseconds(), false));
    }

    private void refuse(RequestId id, CallRefusal refusal) {
        if (ledger.refuse(id)) {
            replyRefused(id, refusal);
        } else {
            discard(id);
        }
    }

    /** Replies to every entry node that waits for the call that it did not run. */
    private void replyRefused(RequestId id, CallRefusal refusal) {
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            pendingReplies.completeWithRefusal(sharing, refusal);
        }
        closeWithoutRun(id);
    }

    private void onDuplicate(PendingReply pending, Acceptance acceptance) {
        if (acceptance.state().isFinal()) {
            pendingReplies.sendOutcome(pending, acceptance.state(), acceptance.answer());
        } else {
            pendingReplies.add(pending);
            pending.link().send(TargetFrames.accepted(pending));
        }
    }

    private void onSeal(MeshLink link, SealRequest seal) {
        RequestId id = TargetFrames.requestId(seal.getRequestId());
        PendingReply pending = new PendingReply(id, seal.getAttempt(), link);
        Incarnation intendedIncarnation = new Incarnation(Math.max(1, seal.getTargetIncarnation()));
        SealState state =
                ledger.seal(id, intendedIncarnation, timing.retainUntil(seal), timing.now());
        link.send(TargetFrames.sealed(pending, state));
        if (state == SealState.SEALED) {
            admission.cancel(id);
            discard(id);
        } else if (state != SealState.OTHER_INCARNATION) {
            replyAfterSeal(pending);
        }
    }

    /**
     * Sends the outcome of a call that was handed over before the seal, on the connection of the
     * seal request.
     */
    private void replyAfterSeal(PendingReply pending) {
        CallState state = ledger.state(pending.id()).orElse(CallState.FAILED);
        if (state.isFinal()) {
            pendingReplies.sendOutcome(pending, state, ledger.answer(pending.id()));
        } else {
            pendingReplies.add(pending);
        }
    }

    private void onCancel(CancelCall cancel) {
        RequestId id = TargetFrames.requestId(cancel.getRequestId());
        if (ledger.cancel(id) == CancelResult.DROPPED) {
            admission.cancel(id);
            discard(id);
        }
    }

    private void discard(RequestId id) {
        closeWithoutRun(id);
        pendingReplies.remove(id);
    }

    /** Ends a call that did not run. */
    private void closeWithoutRun(RequestId id) {
        OpenCall endedCall = openCalls.remove(id);
        if (endedCall != null) {
            claims.onNotRun(endedCall);
        }
    }
}
