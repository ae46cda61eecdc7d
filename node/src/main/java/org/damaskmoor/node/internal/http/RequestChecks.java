package org.damaskmoor.node.internal.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Map;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Checks that the HTTP library leaves to its user. Stateless and thread-safe. */
final class RequestChecks {
    static final String UNKNOWN_CALLER = "unknown";

    private static final HttpHeader CALLER = HttpHeaders.of("Damaskmoor-Caller");

    private RequestChecks() {}

    /** Whether the end of the body is not certain (RFC 9112, section 6.3), or the host is not. */
    static boolean isAmbiguous(HttpRequest request) {
        int lengths = count(request, HttpHeaders.CONTENT_LENGTH);
        int encodings = count(request, HttpHeaders.TRANSFER_ENCODING);
        int hosts = count(request, HttpHeaders.HOST);
        return lengths > 1 || lengths + encodings > 1 || hosts > 1;
    }

    /** Why a request that caused the exception is refused. */
    static RefusalReason reason(Exception exception) {
        String message = String.valueOf(exception.getMessage()).toLowerCase(java.util.Locale.ROOT);
        boolean large = message.contains("size") || message.contains("exceed");
        return large ? RefusalReason.TOO_LARGE : RefusalReason.MALFORMED;
    }

    static String callerName(HttpRequest request) {
        String name = request.getHeader(CALLER);
        return name == null || name.isEmpty() ? UNKNOWN_CALLER : name;
    }

    private static int count(HttpRequest request, HttpHeader name) {
        int count = 0;
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
            if (entry.getKey().equals(name)) {
                count++;
            }
        }
        return count;
    }
}
