package org.damaskmoor.node.internal.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Converts replies to responses of the HTTP library. Stateless and thread-safe.
 *
 * <p>Invariant: no header value can contain a line break, and a response to HEAD has the length
 * that the upstream declared, without a body.
 */
final class CallerResponses {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private CallerResponses() {}

    /** Whether the response must not declare a length. */
    static boolean omitsContentLength(CallerReply reply, boolean isHead) {
        boolean declared =
                reply.headers().stream()
                        .anyMatch(field -> field.getName().equalsIgnoreCase("Content-Length"));
        return reply.status() == NO_CONTENT
                || reply.status() == NOT_MODIFIED
                || (isHead && !declared);
    }

    static HttpResponse.Builder of(CallerReply reply, boolean isHead) {
        HttpResponse.Builder response = HttpResponse.ofCode(reply.status());
        for (HeaderField field : reply.headers()) {
            boolean length = field.getName().equalsIgnoreCase("Content-Length");
            if (FieldSyntax.isName(field.getName()) && (isHead || !length)) {
                response.withHeader(
                        HttpHeaders.of(field.getName()), FieldSyntax.sanitize(field.getValue()));
            }
        }
        if (!isHead && !reply.body().isEmpty()) {
            response.withBody(reply.body().toByteArray());
        }
        return response;
    }
}
