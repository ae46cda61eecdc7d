package org.damaskmoor.core.quarantine;

import org.damaskmoor.core.hash.StableHash;

/**
 * Identifies repetitions of a request: a hash of method, path, body and idempotency key that is the
 * same at every node. Immutable and thread-safe.
 *
 * @param value the hash
 */
public record RequestFingerprint(long value) {
    /**
     * Computes the fingerprint of a request.
     *
     * @param path path and query as the caller sent them
     * @param idempotencyKey the idempotency key, or empty when there is none
     */
    public static RequestFingerprint of(
            String method, String path, byte[] body, String idempotencyKey) {
        long head = StableHash.combine(StableHash.of(method), StableHash.of(path));
        return new RequestFingerprint(
                StableHash.combine(head, StableHash.of(idempotencyKey, body)));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestFingerprint that && value == that.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
