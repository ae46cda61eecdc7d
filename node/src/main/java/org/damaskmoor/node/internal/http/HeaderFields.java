package org.damaskmoor.node.internal.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Copies fields between HTTP messages and the mesh's form, without those that belong to one
 * connection only (RFC 9110, section 7.6.1). Names that are no token are left out, and control
 * characters in values become spaces, so that no field can end its line.
 *
 * <p>Stateless and thread-safe.
 */
public final class HeaderFields {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length");

    private HeaderFields() {}

    /** The end-to-end fields of a message, in order. */
    public static List<HeaderField> endToEnd(HttpMessage message) {
        Set<String> named = namedByConnection(message);
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : message.getHeaders()) {
            String name = entry.getKey().toString();
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (isDecoded(lowerCase, entry.getValue().toString())) {
                continue;
            }
            boolean endToEnd = !HOP_BY_HOP.contains(lowerCase) && !named.contains(lowerCase);
            if (endToEnd && FieldSyntax.isName(name)) {
                fields.add(field(name, FieldSyntax.sanitize(entry.getValue().toString())));
            }
        }
        return fields;
    }

    /** The end-to-end fields of an answer, and its length, which an answer to HEAD passes on. */
    public static List<HeaderField> ofResponse(HttpMessage answer) {
        List<HeaderField> fields = endToEnd(answer);
        String length = answer.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null && answer.getHeader(HttpHeaders.CONTENT_ENCODING) == null) {
            fields.add(field("Content-Length", FieldSyntax.sanitize(length)));
        }
        return fields;
    }

    /** A field with the given name and value. */
    public static HeaderField field(String name, String value) {
        return HeaderField.newBuilder().setName(name).setValue(value).build();
    }

    /** The HTTP library hands out gzip bodies decoded, so the field no longer holds. */
    private static boolean isDecoded(String lowerCaseName, String value) {
        return lowerCaseName.equals("content-encoding") && value.equalsIgnoreCase("gzip");
    }

    private static Set<String> namedByConnection(HttpMessage message) {
        String connection = message.getHeader(HttpHeaders.CONNECTION);
        if (connection == null) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String name : connection.split(",", -1)) {
            names.add(name.trim().toLowerCase(Locale.ROOT));
        }
        return names;
    }
}
