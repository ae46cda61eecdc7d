package org.damaskmoor.core.atmostonce;

import com.google.protobuf.ByteString;
import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.id.RequestId;

/**
 * Answer of the ledger to a call that arrived.
 *
 * <p>For {@link AcceptanceResult#DUPLICATE} and {@link AcceptanceResult#JOINED} the state tells
 * what to reply now: wait while it is queued or handed over, send {@code answer} when it is
 * answered (a failure when the answer is no longer kept), a failure when it failed, a refusal when
 * it was refused. Results that prove nothing carry the state {@code FAILED}. Immutable and
 * thread-safe.
 *
 * @param result what became of the call
 * @param run the request whose outcome this call gets; its own id unless it joined another
 * @param state the state of that request as it concerns this call
 * @param answer the serialised answer, when there is one and it is still kept
 */
public record Acceptance(
        AcceptanceResult result, RequestId run, CallState state, Optional<ByteString> answer) {
    public Acceptance {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(answer, "answer");
    }
}
