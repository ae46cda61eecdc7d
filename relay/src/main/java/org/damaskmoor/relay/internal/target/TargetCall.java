package org.damaskmoor.relay.internal.target;

import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.queueing.QueuedCall;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedCall;

/** State of a call at its target until it has ended. Confined to the event loop. */
final class TargetCall {
    final RequestId id;
    final ForwardedCall message;
    final long arrivedAt;
    final long deadlineAt;
    private RequestFingerprint fingerprint;
    CallOutcomeListener outcomeListener;
    UpstreamConnectionPool.InFlightCall sent;
    Consumer<UpstreamReport> reportListener = report -> {};
    Timers.Cancellation deadlineTimer = () -> {};
    long startedAt;
    double slownessAtStart;
    int runningAtStart;

    TargetCall(RequestId id, ForwardedCall message, CallOutcomeListener outcomeListener, long now) {
        this.id = id;
        this.message = message;
        this.outcomeListener = outcomeListener;
        this.arrivedAt = now;
        this.deadlineAt = now + message.getRemainingMilliseconds();
    }

    boolean isRunning() {
        return sent != null;
    }

    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint =
                    RequestFingerprint.of(
                            message.getMethod(),
                            message.getTarget(),
                            message.getBody().toByteArray(),
                            "");
        }
        return fingerprint;
    }

    private Optional<TenantName> tenant() {
        String name = message.getTenant();
        return name.isEmpty() ? Optional.empty() : Optional.of(new TenantName(name));
    }

    QueuedCall<TargetCall> toQueuedCall() {
        return new QueuedCall<>(
                this,
                tenant(),
                message.getPriority(),
                arrivedAt + message.getObjectiveMilliseconds(),
                deadlineAt,
                message.getUsualMilliseconds(),
                message.getSpareMilliseconds(),
                message.getLastChoice());
    }
}
