package org.damaskmoor.core.quarantine;

import org.damaskmoor.core.hash.StableHash;

/**
 * Recognises a request that its caller sends again: a hash of method, path, body and idempotency
 * key, the same at every node. Immutable and thread-safe.
 *
 * @param value the hash
 */
public record RequestFingerprint(long value) {
    /**
     * The fingerprint of a request.
     *
     * @param path path and query as the caller sent them
     * @param idempotencyKey empty when there is none
     */
    public static RequestFingerprint of(
            String method, String path, byte[] body, String idempotencyKey) {
        long head = StableHash.combine(StableHash.of(method), StableHash.of(path));
        return new RequestFingerprint(
                StableHash.combine(head, StableHash.of(idempotencyKey, body)));
    }
}
