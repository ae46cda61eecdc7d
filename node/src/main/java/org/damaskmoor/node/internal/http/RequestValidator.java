package org.damaskmoor.node.internal.http;

import io.activej.http.AbstractHttpConnection;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Validates what the HTTP library leaves unchecked. Stateless and thread-safe. */
final class RequestValidator {
    static final String UNKNOWN_CALLER = "unknown";

    private static final HttpHeader CALLER = HttpHeaders.of("Damaskmoor-Caller");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._~:\\[\\]-]*");
    private static final Pattern QUERY = Pattern.compile("[\\x21-\\x7e&&[^#]]*");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private RequestValidator() {}

    /** Returns the reason to refuse a request before its body is read; empty if it is valid. */
    static Optional<RefusalReason> validate(HttpRequest request, int maximumBodyBytes) {
        if (!hasUnambiguousLength(request)
                || !hasOneHost(request)
                || !isTargetUnambiguous(request)) {
            return Optional.of(RefusalReason.MALFORMED);
        }
        if (!areFieldsValid(request)) {
            return Optional.of(RefusalReason.MALFORMED);
        }
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        boolean tooLarge = length != null && Long.parseLong(length.strip()) > maximumBodyBytes;
        return tooLarge ? Optional.of(RefusalReason.TOO_LARGE) : Optional.empty();
    }

    /**
     * Returns the reason to refuse a head that the library could not parse: too large if it has a
     * longer line, or more lines, than the library allows, malformed otherwise.
     */
    static RefusalReason classifyUnparsableHead(byte[] head) {
        int lines = 0;
        int lineStart = 0;
        for (int i = 0; i < head.length; i++) {
            if (i - lineStart > AbstractHttpConnection.MAX_HEADER_LINE_SIZE_BYTES) {
                return RefusalReason.TOO_LARGE;
            }
            if (head[i] == '\n') {
                lines++;
                lineStart = i + 1;
            }
        }
        boolean tooMany = lines > AbstractHttpConnection.MAX_HEADERS;
        return tooMany ? RefusalReason.TOO_LARGE : RefusalReason.MALFORMED;
    }

    static String callerName(HttpRequest request) {
        String name = request.getHeader(CALLER);
        return name == null || name.isEmpty() || !FieldSyntax.isValue(name) ? UNKNOWN_CALLER : name;
    }

    /** Whether the end of the body is unambiguous (RFC 9112, section 6.3). */
    private static boolean hasUnambiguousLength(HttpRequest request) {
        int lengths = count(request, HttpHeaders.CONTENT_LENGTH);
        int encodings = count(request, HttpHeaders.TRANSFER_ENCODING);
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        String encoding = request.getHeader(HttpHeaders.TRANSFER_ENCODING);
        return lengths + encodings <= 1
                && (length == null || LENGTH.matcher(length.strip()).matches())
                && (encoding == null || encoding.equalsIgnoreCase("chunked"));
    }

    private static boolean hasOneHost(HttpRequest request) {
        int hosts = count(request, HttpHeaders.HOST);
        String host = request.getHeader(HttpHeaders.HOST);
        boolean needed = request.getVersion() != HttpVersion.HTTP_1_0;
        return hosts <= 1
                && (hosts == 1 || !needed)
                && (host == null || HOST.matcher(host).matches());
    }

    /**
     * The library parses a target without a leading slash as a host; its full URL shows what was
     * sent.
     */
    private static boolean isTargetUnambiguous(HttpRequest request) {
        String query = request.getQuery();
        String host = request.getHeader(HttpHeaders.HOST);
        String url = request.getFullUrl();
        boolean sameHost =
                host == null
                        ? url.startsWith("/") || url.contains("://")
                        : url.equals("http://" + host + request.getPathAndQuery());
        return sameHost
                && RequestPath.isUnambiguous(request.getPath())
                && (query == null || QUERY.matcher(query).matches())
                && (request.getFragment() == null || request.getFragment().isEmpty());
    }

    private static boolean areFieldsValid(HttpRequest request) {
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
            boolean valid =
                    FieldSyntax.isName(entry.getKey().toString())
                            && FieldSyntax.isValue(entry.getValue().toString());
            if (!valid) {
                return false;
            }
        }
        return true;
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
