package org.damaskmoor.core.atmostonce;

import com.google.protobuf.ByteString;
import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.id.RequestId;

/**
 * Result of offering an incoming call to the ledger.
 *
 * <p>For {@link AcceptanceResult#DUPLICATE} and {@link AcceptanceResult#JOINED}, {@code state}
 * determines the reply: none yet while the request is queued or handed over; {@code answer} if it
 * was answered, or a failure if the answer was evicted; a failure if it failed; a refusal if it was
 * refused. Results that leave open whether the request ran carry the state {@code FAILED}.
 * Immutable and thread-safe.
 *
 * @param result what the ledger did with the call
 * @param run the request whose outcome this call receives: its own id unless it joined another
 * @param state the state of that request as seen by this call
 * @param answer the serialised answer, if there is one and it is still cached
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
