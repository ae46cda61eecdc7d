package org.damaskmoor.bench.upstream;

import com.google.protobuf.ByteString;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The response body of an upstream stand-in. It depends only on the request, so that a caller can
 * verify byte for byte that an answer is its own and complete.
 *
 * <p>Stateless and thread safe.
 */
public final class EchoBody {
    private static final int MAXIMUM_REPEATS = 64;

    private EchoBody() {}

    /** Returns the body that answers a request with this nonce and path. */
    public static ByteString of(String nonce, String path) {
        int repeats = 1 + Math.floorMod(nonce.hashCode(), MAXIMUM_REPEATS);
        JsonObject body =
                new JsonObject()
                        .with("nonce", nonce)
                        .with("path", path)
                        .with("text", nonce.repeat(repeats));
        return ByteString.copyFromUtf8(body.toString());
    }
}
