package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.queueing.QueuedCall;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedCall;

/** A call at its target, until it has ended. Confined to the event loop. */
final class TargetCall {
    final RequestId id;
    final ForwardedCall call;
    final long arrivedAt;
    final long deadlineAt;
    private RequestFingerprint fingerprint;
    CallOutcomeListener outcomes;
    UpstreamConnectionPool.Sent sent;
    Timers.Cancellation deadlineTimer = () -> {};
    long startedAt;
    double slownessAtStart;
    int runningAtStart;

    TargetCall(RequestId id, ForwardedCall call, CallOutcomeListener outcomes, long now) {
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

    QueuedCall<TargetCall> toWaitingCall() {
        return new QueuedCall<>(
                this,
                call.getPriority(),
                arrivedAt + call.getObjectiveMilliseconds(),
                deadlineAt,
                call.getUsualMilliseconds(),
                call.getSpareMilliseconds(),
                call.getLastChoice());
    }
}
