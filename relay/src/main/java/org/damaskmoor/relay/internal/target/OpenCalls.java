package org.damaskmoor.relay.internal.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The calls at a target that have not ended. Confined to the event loop.
 *
 * <p>Invariant: a refused call has not been handed over, which the ledger guarantees.
 */
final class OpenCalls {
    private final TargetLedger ledger;
    private final TargetReplySender replySender;
    private final Map<RequestId, TargetCall> calls = new HashMap<>();

    OpenCalls(TargetLedger ledger, TargetReplySender replySender) {
        this.ledger = ledger;
        this.replySender = replySender;
    }

    void add(TargetCall call) {
        calls.put(call.id, call);
    }

    boolean contains(TargetCall call) {
        return calls.get(call.id) == call;
    }

    TargetCall get(RequestId id) {
        return calls.get(id);
    }

    void remove(TargetCall call) {
        calls.remove(call.id);
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** A copy of all open calls. */
    List<TargetCall> all() {
        return new ArrayList<>(calls.values());
    }

    /** The requests that the upstream is running. */
    Collection<RequestFingerprint> runningRequests() {
        List<RequestFingerprint> running = new ArrayList<>();
        for (TargetCall call : calls.values()) {
            if (call.isRunning()) {
                running.add(call.fingerprint());
            }
        }
        return running;
    }

    /** Removes a call that was not handed over and sends its entry a refusal. */
    void refuse(TargetCall call, RefusalReason reason, long retryAfterMilliseconds) {
        ledger.refuse(call.id);
        remove(call);
        replySender.sendRefusal(call, reason, retryAfterMilliseconds);
    }
}
