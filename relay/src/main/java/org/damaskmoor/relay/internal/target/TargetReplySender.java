package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.function.Supplier;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Sends entries the outcomes of their calls, and logs them with the load at that time. Confined to
 * the event loop.
 */
final class TargetReplySender {
    private static final double PERCENT = 100;

    private final Timers timers;
    private final EventLog log;
    private final Supplier<TargetLoad> load;

    TargetReplySender(Timers timers, EventLog log, Supplier<TargetLoad> load) {
        this.timers = timers;
        this.log = log;
        this.load = load;
    }

    /** Logs an answered call and builds the answer for its entry. */
    ForwardedAnswer buildAnswer(
            TargetCall call,
            UpstreamOutcome.Answered answered,
            long durationMilliseconds,
            boolean failedBelow) {
        log.event("call-answered")
                .with("request", call.message.getCallerRequestId())
                .with("status", answered.status())
                .with("waited_ms", call.startedAt - call.arrivedAt)
                .with("took_ms", durationMilliseconds)
                .with("usual_ms", call.message.getUsualMilliseconds())
                .with("slowness", Math.round(call.slownessAtStart * PERCENT))
                .with("running", call.runningAtStart)
                .with("connection", answered.origin().localPort())
                .with("connection_calls", answered.origin().calls())
                .with("skipped", answered.origin().skippedAnswers())
                .write();
        return ForwardedAnswer.newBuilder()
                .setSequence(call.message.getSequence())
                .setAttempt(call.message.getAttempt())
                .setStatus(answered.status())
                .addAllHeaders(answered.headers())
                .setBody(answered.body())
                .setUpstreamMilliseconds((int) durationMilliseconds)
                .setSlownessPercent((int) Math.round(call.slownessAtStart * PERCENT))
                .setFailedBelow(failedBelow)
                .setLoad(load.get())
                .build();
    }

    /** Sends a refusal: the call was not run here and never will be. */
    void sendRefusal(TargetCall call, RefusalReason reason, long retryAfterMilliseconds) {
        TargetLoad now = load.get();
        log.event("call-refused")
                .with("request", call.message.getCallerRequestId())
                .with("reason", reason)
                .with("running", now.getRunning())
                .with("waiting", now.getWaiting())
                .with("limit", now.getLimit())
                .with("slowness", now.getSlownessPercent())
                .with("waited_ms", timers.now() - call.arrivedAt)
                .write();
        call.outcomeListener.onRefused(
                ForwardedRefusal.newBuilder()
                        .setSequence(call.message.getSequence())
                        .setAttempt(call.message.getAttempt())
                        .setReason(reason)
                        .setRetryAfterMilliseconds((int) retryAfterMilliseconds)
                        .setLoad(now)
                        .build());
    }

    /** Sends a failure: it is unknown whether the call ran. */
    void sendFailure(TargetCall call, String detail) {
        long ranMilliseconds = call.startedAt == 0 ? 0 : timers.now() - call.startedAt;
        log.event("call-failed")
                .with("request", call.message.getCallerRequestId())
                .with("step", "upstream")
                .with("ran_ms", ranMilliseconds)
                .with("detail", detail)
                .write();
        call.outcomeListener.onFailed(
                ForwardedFailure.newBuilder()
                        .setSequence(call.message.getSequence())
                        .setAttempt(call.message.getAttempt())
                        .setDetail(detail)
                        .setLoad(load.get())
                        .build());
    }

    /**
     * Sends the outcome of a call that ended before its entry sealed it, if the answer was kept.
     */
    void sendRememberedOutcome(
            CallSeal seal, ByteString keptAnswer, CallOutcomeListener outcomeListener) {
        if (!keptAnswer.isEmpty()) {
            try {
                outcomeListener.onAnswered(ForwardedAnswer.parseFrom(keptAnswer));
                return;
            } catch (InvalidProtocolBufferException invalid) {
                log.event("kept-answer-unreadable").with("call", seal.getSequence()).write();
            }
        }
        outcomeListener.onFailed(
                ForwardedFailure.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setDetail("the outcome is not known any more")
                        .build());
    }
}
