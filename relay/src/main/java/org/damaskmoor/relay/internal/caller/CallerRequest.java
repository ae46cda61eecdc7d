package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * A complete request of a caller. Immutable and thread-safe.
 *
 * @param id the caller's own id of this attempt
 * @param method its method
 * @param host its host, with or without a port
 * @param target path and query as they were sent
 * @param headers the headers that are passed on to the upstream
 * @param body its body
 * @param timeoutMilliseconds how long the caller waits; 0 if it did not say
 * @param arrivedAt when its first byte was read, in milliseconds of the monotonic clock
 */
public record CallerRequest(
        String id,
        String method,
        String host,
        String target,
        List<HeaderField> headers,
        ByteString body,
        long timeoutMilliseconds,
        long arrivedAt) {

    /** The same request with other headers. */
    public CallerRequest withHeaders(List<HeaderField> newHeaders) {
        return new CallerRequest(
                id, method, host, target, newHeaders, body, timeoutMilliseconds, arrivedAt);
    }

    /** The path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
