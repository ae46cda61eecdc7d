package org.damaskmoor.core.atmostonce;

import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.id.RequestId;

/**
 * Identifies a call at its target: the request id and, if the caller sent one, the idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request, the same for all attempts
 * @param idempotencyKey the caller's key, empty if it sent none
 */
public record CallKey(RequestId id, Optional<IdempotencyKey> idempotencyKey) {
    public CallKey {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    }

    /** Returns the key of a call without an idempotency key. */
    public static CallKey of(RequestId id) {
        return new CallKey(id, Optional.empty());
    }
}
