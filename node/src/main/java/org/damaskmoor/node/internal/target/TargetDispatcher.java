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
 * Takes calls from entry nodes at the target, decides on each with the load of this instant, and
 * hands it to the upstream.
 *
 * <p>Confined to the upstream event loop. Invariants: each call that is not a duplicate ends in one
 * of answer, refusal and failure; a refused call was not handed over; all who wait for a call get
 * its outcome over the connection on which they were heard of last.
 */
public final class TargetDispatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int FIRST_SERVER_ERROR = 500;

    private final TargetLedger ledger;
    private final AdmissionController admission;
    private final UpstreamRegistration upstream;
    private final UpstreamClient client;
    private final ClaimTracker claims;
    private final CrashDetector crashes;
    private final TargetTiming timing;
    private final Map<RequestId, OpenCall> open = new HashMap<>();
    private final PendingReplies waiters;

    TargetDispatcher(
            TargetLedger ledger,
            AdmissionController admission,
            UpstreamRegistration upstream,
            UpstreamClient client,
            ClaimService claims,
            CrashDetector crashes,
            TargetTiming timing,
            BiFunction<NodeId, LoadReport, LoadReport> reports) {
        this.ledger = ledger;
        this.admission = admission;
        this.upstream = upstream;
        this.client = client;
        this.claims = new ClaimTracker(claims);
        this.crashes = crashes;
        this.timing = timing;
        this.waiters =
                new PendingReplies(peer -> reports.apply(peer, admission.loadReport(timing.now())));
    }

    /** Takes a frame from an entry node. */
    public void onFrame(MeshLink link, MeshFrame frame) {
        switch (frame.getBodyCase()) {
            case CALL -> onCall(link, frame.getCall());
            case SEAL -> onSeal(link, frame.getSeal());
            case CANCEL -> onCancel(frame.getCancel());
            default -> throw new IllegalArgumentException("unexpected " + frame.getBodyCase());
        }
    }

    /** Hands over what may run now and refuses what waited in vain. Call every few milliseconds. */
    public void tick() {
        handOverNext();
        ledger.expire(timing.now());
    }

    private void handOverNext() {
        DequeuedRequests next = admission.dequeue(timing.now());
        next.refused().forEach(this::refuseAdmission);
        next.admitted().forEach(admitted -> handOver(admitted.id()));
    }

    /** Whether nothing waits and nothing runs. */
    public boolean isIdle() {
        return open.isEmpty();
    }

    private void onCall(MeshLink link, Call call) {
        RequestId id = TargetFrames.requestId(call.getRequestId());
        PendingReply waiter = new PendingReply(id, call.getAttempt(), link);
        long deadline = timing.deadline(call);
        Acceptance acceptance =
                ledger.accept(
                        key(id, call),
                        new Incarnation(Math.max(1, call.getTargetIncarnation())),
                        timing.acceptUntil(call),
                        timing.retainUntil(call),
                        timing.now());
        switch (acceptance.result()) {
            case ACCEPTED -> onNew(waiter, call, deadline);
            case DUPLICATE, JOINED -> onKnown(waiter, acceptance);
            case SEALED_ALREADY -> link.send(TargetFrames.sealed(waiter, SealState.SEALED));
            case WRONG_INCARNATION ->
                    waiters.sendRefusal(waiter, CallRefusal.of(RefusalReason.STALE_INCARNATION));
            case FULL -> waiters.sendRefusal(waiter, CallRefusal.of(RefusalReason.NODE_BUSY));
            case TOO_LATE -> logger.atInfo().log("event=call-too-late request=%s", id);
            case DEADLINE_PASSED ->
                    waiters.sendRefusal(waiter, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
            default -> throw new IllegalStateException("unexpected " + acceptance.result());
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

    private void onNew(PendingReply waiter, Call call, long deadline) {
        RequestId id = waiter.id();
        OpenCall opened = new OpenCall(id, call, deadline);
        open.put(id, opened);
        waiters.add(waiter);
        waiter.link().send(TargetFrames.accepted(waiter));
        Optional<CallRefusal> quarantined = crashes.quarantineRefusal(call);
        if (!upstream.serves(call.getService())) {
            refuse(id, CallRefusal.of(RefusalReason.UPSTREAM_UNREACHABLE));
        } else if (quarantined.isPresent()) {
            refuse(id, quarantined.get());
        } else if (ClaimTracker.requiresClaim(call)) {
            claims.claim(opened, claim -> onClaim(id, claim));
        } else {
            offer(id);
        }
    }

    private void onClaim(RequestId id, ClaimService.Claim claim) {
        switch (claim) {
            case GRANTED -> offer(id);
            case TAKEN -> onTaken(id);
            case UNAVAILABLE -> refuse(id, CallRefusal.of(RefusalReason.CLAIM_UNAVAILABLE));
            default -> throw new IllegalStateException("unexpected " + claim);
        }
    }

    /**
     * An earlier request with the same key may have run. "Not run" would be true of this request,
     * but a caller that resends asks about the earlier one: so it is told "unknown".
     */
    private void onTaken(RequestId id) {
        if (ledger.handOver(id, timing.now()) == HandOverResult.RUN) {
            fail(id, "an earlier request with this key may have run; ask the service");
        } else {
            tell(id, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
        }
    }

    private void offer(RequestId id) {
        OpenCall call = open.get(id);
        if (call == null) {
            return;
        }
        AdmissionDecision offer = admission.offer(call.admission(), timing.now());
        if (offer instanceof AdmissionDecision.Admitted) {
            handOver(id);
        } else if (offer instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(this::refuseAdmission);
        } else if (offer instanceof AdmissionDecision.Refused refused) {
            refuseAdmission(refused.refusal());
        }
    }

    private void handOver(RequestId id) {
        OpenCall call = open.get(id);
        HandOverResult result = ledger.handOver(id, timing.now());
        if (call != null && result == HandOverResult.RUN) {
            run(call);
            return;
        }
        finishAdmission(id, timing.now(), AdmissionOutcome.CANCELLED);
        if (result == HandOverResult.DEADLINE_PASSED) {
            tell(id, CallRefusal.of(RefusalReason.DEADLINE_PASSED));
        }
        forget(id);
    }

    private void run(OpenCall call) {
        long started = timing.now();
        Optional<UpstreamAddress> address = upstream.address();
        if (address.isEmpty()) {
            onOutcome(call, started, new UpstreamOutcome.NotRun(true, false));
            return;
        }
        crashes.onHandOver(call.id(), call.call());
        client.send(
                address.get(),
                call.call(),
                call.remainingMilliseconds(started),
                outcome -> onOutcome(call, started, outcome));
    }

    private void onOutcome(OpenCall call, long started, UpstreamOutcome outcome) {
        crashes.onOutcome(call.id(), outcome);
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            onAnswered(call, started, answered.answer());
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun) {
            onNotRun(call.id(), started, notRun);
        } else if (outcome instanceof UpstreamOutcome.Failed failed) {
            onFailed(call.id(), started, failed);
        }
        handOverNext();
    }

    private void onAnswered(OpenCall call, long started, CallAnswer answer) {
        RequestId id = call.id();
        boolean serverError = answer.getStatus() >= FIRST_SERVER_ERROR;
        finishAdmission(
                id, started, serverError ? AdmissionOutcome.FAILED : AdmissionOutcome.ANSWERED);
        boolean kept = call.call().getNonIdempotent();
        ledger.answered(id, kept ? answer.toByteString() : ByteString.EMPTY);
        long microseconds = TimeUnit.NANOSECONDS.toMicros(timing.now() - started);
        CallAnswer timed = answer.toBuilder().setUpstreamMicroseconds((int) microseconds).build();
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            waiters.completeWithAnswer(sharing, timed);
        }
        open.remove(id);
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
        fail(id, failed.detail());
    }

    /** Tells all who wait for the call that it is unknown whether it ran. */
    private void fail(RequestId id, String detail) {
        ledger.failed(id);
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            waiters.completeWithFailure(sharing, detail);
        }
        open.remove(id);
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
            tell(id, refusal);
        } else {
            forget(id);
        }
    }

    /** Tells all who wait for the call that it did not run. */
    private void tell(RequestId id, CallRefusal refusal) {
        for (RequestId sharing : ledger.requestsSharingRun(id)) {
            waiters.completeWithRefusal(sharing, refusal);
        }
        close(id);
    }

    private void onKnown(PendingReply waiter, Acceptance acceptance) {
        if (acceptance.state().isFinal()) {
            waiters.sendOutcome(waiter, acceptance.state(), acceptance.answer());
        } else {
            waiters.add(waiter);
            waiter.link().send(TargetFrames.accepted(waiter));
        }
    }

    private void onSeal(MeshLink link, SealRequest seal) {
        RequestId id = TargetFrames.requestId(seal.getRequestId());
        PendingReply waiter = new PendingReply(id, seal.getAttempt(), link);
        Incarnation meantFor = new Incarnation(Math.max(1, seal.getTargetIncarnation()));
        SealState state = ledger.seal(id, meantFor, timing.retainUntil(seal), timing.now());
        link.send(TargetFrames.sealed(waiter, state));
        if (state == SealState.SEALED) {
            admission.cancel(id);
            forget(id);
        } else if (state != SealState.OTHER_INCARNATION) {
            followUp(waiter);
        }
    }

    /** The call was handed over: its outcome goes over the connection of the seal request. */
    private void followUp(PendingReply waiter) {
        CallState state = ledger.state(waiter.id()).orElse(CallState.FAILED);
        if (state.isFinal()) {
            waiters.sendOutcome(waiter, state, ledger.answer(waiter.id()));
        } else {
            waiters.add(waiter);
        }
    }

    private void onCancel(CancelCall cancel) {
        RequestId id = TargetFrames.requestId(cancel.getRequestId());
        if (ledger.cancel(id) == CancelResult.DROPPED) {
            admission.cancel(id);
            forget(id);
        }
    }

    private void forget(RequestId id) {
        close(id);
        waiters.remove(id);
    }

    /** The call ended and did not run. */
    private void close(RequestId id) {
        OpenCall closed = open.remove(id);
        if (closed != null) {
            claims.onNotRun(closed);
        }
    }
}
