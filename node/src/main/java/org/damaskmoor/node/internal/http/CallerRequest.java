package org.damaskmoor.node.internal.http;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * A complete request of a caller, without hop-by-hop fields. Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param path the path without query
 * @param target path and query as sent
 * @param host the Host field without port, in lower case
 * @param headers the end-to-end fields, in order
 * @param body the complete body
 * @param remote the caller's address
 * @param arrivalNanoseconds when the request was read completely, on the monotonic clock
 */
public record CallerRequest(
        String method,
        String path,
        String target,
        String host,
        List<HeaderField> headers,
        ByteString body,
        InetAddress remote,
        long arrivalNanoseconds) {

    /** The same request with its body, which was read completely at the given time. */
    CallerRequest withBody(byte[] completeBody, long completedNanoseconds) {
        return new CallerRequest(
                method,
                path,
                target,
                host,
                headers,
                ByteString.copyFrom(completeBody),
                remote,
                completedNanoseconds);
    }

    /** The first value of a field, or an empty string. */
    public String header(String name) {
        for (HeaderField field : headers) {
            if (field.getName().equalsIgnoreCase(name)) {
                return field.getValue();
            }
        }
        return "";
    }

    /** The Host field without its port, in lower case. */
    public static String hostWithoutPort(String hostField) {
        int end = hostField.startsWith("[") ? hostField.indexOf(']') + 1 : hostField.indexOf(':');
        String host = end > 0 ? hostField.substring(0, end) : hostField;
        return host.toLowerCase(Locale.ROOT);
    }
}
