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
 * Tells entries how their calls have ended, and the log with what decided it. Confined to the event
 * loop.
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

    /** The answer as entries get it. */
    ForwardedAnswer buildAnswer(
            TargetCall call, UpstreamOutcome.Answered answered, long took, boolean failedBelow) {
        log.event("call-answered")
                .with("request", call.call.getCallerRequestId())
                .with("status", answered.status())
                .with("waited_ms", call.startedAt - call.arrivedAt)
                .with("took_ms", took)
                .with("usual_ms", call.call.getUsualMilliseconds())
                .with("slowness", Math.round(call.slownessAtStart * PERCENT))
                .with("running", call.runningAtStart)
                .write();
        return ForwardedAnswer.newBuilder()
                .setSequence(call.call.getSequence())
                .setAttempt(call.call.getAttempt())
                .setStatus(answered.status())
                .addAllHeaders(answered.headers())
                .setBody(answered.body())
                .setUpstreamMilliseconds((int) took)
                .setSlownessPercent((int) Math.round(call.slownessAtStart * PERCENT))
                .setFailedBelow(failedBelow)
                .setLoad(load.get())
                .build();
    }

    /** Tells that the call has not run here and never will. */
    void sendRefusal(TargetCall call, RefusalReason reason, long retryAfterMilliseconds) {
        TargetLoad now = load.get();
        log.event("call-refused")
                .with("request", call.call.getCallerRequestId())
                .with("reason", reason)
                .with("running", now.getRunning())
                .with("waiting", now.getWaiting())
                .with("limit", now.getLimit())
                .with("slowness", now.getSlownessPercent())
                .with("waited_ms", timers.now() - call.arrivedAt)
                .write();
        call.outcomes.onRefused(
                ForwardedRefusal.newBuilder()
                        .setSequence(call.call.getSequence())
                        .setAttempt(call.call.getAttempt())
                        .setReason(reason)
                        .setRetryAfterMilliseconds((int) retryAfterMilliseconds)
                        .setLoad(now)
                        .build());
    }

    /** Tells that it is unknown whether the call ran. */
    void sendFailure(TargetCall call, String detail) {
        long ran = call.startedAt == 0 ? 0 : timers.now() - call.startedAt;
        log.event("call-failed")
                .with("request", call.call.getCallerRequestId())
                .with("step", "upstream")
                .with("ran_ms", ran)
                .with("detail", detail)
                .write();
        call.outcomes.onFailed(
                ForwardedFailure.newBuilder()
                        .setSequence(call.call.getSequence())
                        .setAttempt(call.call.getAttempt())
                        .setDetail(detail)
                        .setLoad(load.get())
                        .build());
    }

    /** Tells the outcome of a call that has ended before its entry asked, as far as it is kept. */
    void sendRememberedOutcome(CallSeal seal, ByteString kept, CallOutcomeListener outcomes) {
        if (!kept.isEmpty()) {
            try {
                outcomes.onAnswered(ForwardedAnswer.parseFrom(kept));
                return;
            } catch (InvalidProtocolBufferException unreadable) {
                log.event("kept-answer-unreadable").with("call", seal.getSequence()).write();
            }
        }
        outcomes.onFailed(
                ForwardedFailure.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setDetail("the outcome is not known any more")
                        .build());
    }
}
