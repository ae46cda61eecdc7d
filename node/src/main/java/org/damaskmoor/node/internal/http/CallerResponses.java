package org.damaskmoor.node.internal.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Turns replies into the HTTP library's form. Stateless and thread-safe.
 *
 * <p>Invariant: no field can end its line, and an answer to HEAD has the length that the upstream
 * named, without a body.
 */
final class CallerResponses {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private CallerResponses() {}

    /** Whether the reply must not name the length of its body. */
    static boolean omitsContentLength(CallerReply reply, boolean head) {
        boolean named =
                reply.headers().stream()
                        .anyMatch(field -> field.getName().equalsIgnoreCase("Content-Length"));
        return reply.status() == NO_CONTENT || reply.status() == NOT_MODIFIED || (head && !named);
    }

    static HttpResponse.Builder of(CallerReply reply, boolean head) {
        HttpResponse.Builder response = HttpResponse.ofCode(reply.status());
        for (HeaderField field : reply.headers()) {
            boolean length = field.getName().equalsIgnoreCase("Content-Length");
            if (FieldSyntax.isName(field.getName()) && (head || !length)) {
                response.withHeader(
                        HttpHeaders.of(field.getName()), FieldSyntax.sanitize(field.getValue()));
            }
        }
        if (!head && !reply.body().isEmpty()) {
            response.withBody(reply.body().toByteArray());
        }
        return response;
    }
}
