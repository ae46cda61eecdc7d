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
 * Copies header fields from HTTP messages to mesh messages, without those that apply to one
 * connection only (RFC 9110, section 7.6.1). Fields whose name is not a token are dropped, and
 * control characters in values become spaces, so that no value can contain a line break.
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
        Set<String> connectionNames = namesInConnection(message);
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : message.getHeaders()) {
            String name = entry.getKey().toString();
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (isDecoded(lowerCase, entry.getValue().toString())) {
                continue;
            }
            boolean endToEnd =
                    !HOP_BY_HOP.contains(lowerCase) && !connectionNames.contains(lowerCase);
            if (endToEnd && FieldSyntax.isName(name)) {
                fields.add(field(name, FieldSyntax.sanitize(entry.getValue().toString())));
            }
        }
        return fields;
    }

    /**
     * The end-to-end fields of a response and its length, which is forwarded in responses to HEAD.
     */
    public static List<HeaderField> ofResponse(HttpMessage response) {
        List<HeaderField> fields = endToEnd(response);
        String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null && response.getHeader(HttpHeaders.CONTENT_ENCODING) == null) {
            fields.add(field("Content-Length", FieldSyntax.sanitize(length)));
        }
        return fields;
    }

    /** A field with the given name and value. */
    public static HeaderField field(String name, String value) {
        return HeaderField.newBuilder().setName(name).setValue(value).build();
    }

    /** Whether the field says that the body is gzip, which the HTTP library has decoded. */
    private static boolean isDecoded(String lowerCaseName, String value) {
        return lowerCaseName.equals("content-encoding") && value.equalsIgnoreCase("gzip");
    }

    private static Set<String> namesInConnection(HttpMessage message) {
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
