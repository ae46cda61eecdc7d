package org.damaskmoor.node.internal.claims;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.damaskmoor.schema.mesh.Call;

/**
 * Computes the row key of a claim: {@code service.hash}, where the hash is the SHA-256 of service,
 * caller and idempotency key, each prefixed with its length.
 *
 * <p>The key has a bounded length and needs no escaping, whatever a caller sends. Stateless and
 * thread-safe.
 */
final class ClaimKey {
    private ClaimKey() {}

    static String of(Call call) {
        MessageDigest digest = sha256();
        update(digest, call.getService());
        update(digest, call.getCaller());
        update(digest, call.getIdempotencyKey());
        return call.getService() + "." + HexFormat.of().formatHex(digest.digest());
    }

    private static void update(MessageDigest digest, String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(
                    "this JVM has no SHA-256, which every Java platform must provide", missing);
        }
    }
}
