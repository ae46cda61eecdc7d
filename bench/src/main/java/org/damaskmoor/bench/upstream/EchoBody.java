package org.damaskmoor.bench.upstream;

import com.google.protobuf.ByteString;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The body that an upstream stand-in answers: a function of the request alone, so that a caller can
 * tell byte for byte whether an answer is its own and whole.
 *
 * <p>Stateless and safe for all threads.
 */
public final class EchoBody {
    private static final int LONGEST_REPEAT = 64;

    private EchoBody() {}

    /** Returns the body that answers a request with this nonce and path. */
    public static ByteString of(String nonce, String path) {
        int repeats = 1 + Math.floorMod(nonce.hashCode(), LONGEST_REPEAT);
        JsonObject body =
                new JsonObject()
                        .with("nonce", nonce)
                        .with("path", path)
                        .with("text", nonce.repeat(repeats));
        return ByteString.copyFromUtf8(body.toString());
    }
}
