package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.waiting.WaitingCall;
import org.damaskmoor.relay.internal.link.CallOutcomes;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedCall;

/** A call at its target, until it has ended. Confined to the event loop. */
final class TargetCall {
    final RequestId id;
    final ForwardedCall call;
    final long arrivedAt;
    final long deadlineAt;
    private RequestFingerprint fingerprint;
    CallOutcomes outcomes;
    UpstreamPool.Sent sent;
    Timers.Cancellation deadlineTimer = () -> {};
    long startedAt;
    double slownessAtStart;
    int runningAtStart;

    TargetCall(RequestId id, ForwardedCall call, CallOutcomes outcomes, long now) {
        this.id = id;
        this.call = call;
        this.outcomes = outcomes;
        this.arrivedAt = now;
        this.deadlineAt = now + call.getRemainingMilliseconds();
    }

    boolean isRunning() {
        return sent != null;
    }

    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint =
                    RequestFingerprint.of(
                            call.getMethod(), call.getTarget(), call.getBody().toByteArray(), "");
        }
        return fingerprint;
    }

    WaitingCall<TargetCall> waiting() {
        return new WaitingCall<>(
                this,
                call.getPriority(),
                arrivedAt + call.getObjectiveMilliseconds(),
                deadlineAt,
                call.getUsualMilliseconds(),
                call.getSpareMilliseconds(),
                call.getLastChoice());
    }
}
