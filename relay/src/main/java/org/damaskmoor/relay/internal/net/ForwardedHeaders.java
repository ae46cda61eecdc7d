package org.damaskmoor.relay.internal.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.schema.mesh.HeaderField;

/** Which headers are passed on. Thread-safe: pure functions. */
public final class ForwardedHeaders {
    /** Headers that concern one connection, and the length, which each connection sets itself. */
    private static final Set<String> ONE_CONNECTION =
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
                    "expect",
                    "content-length");

    /** Headers of a request that the nodes set themselves. */
    private static final Set<String> SET_FOR_UPSTREAM =
            lowerCase(
                    HeaderNames.REQUEST_ID,
                    HeaderNames.REMAINING_MILLISECONDS,
                    HeaderNames.EXPECTED_UPSTREAM,
                    HeaderNames.CALLER_SERVICE);

    /** Headers of an answer that concern the nodes alone, or that the entry sets again. */
    private static final Set<String> NOT_FOR_CALLERS =
            lowerCase(HeaderNames.UPSTREAM_LOAD, HeaderNames.REQUEST_ID);

    private ForwardedHeaders() {}

    /** The headers of a caller's request that the upstream gets as they are. */
    public static List<HeaderField> ofRequest(HttpHeaders headers) {
        return fields(headers, SET_FOR_UPSTREAM);
    }

    /** The headers of an upstream's answer that the caller gets as they are. */
    public static List<HeaderField> ofAnswer(HttpHeaders headers) {
        return fields(headers, NOT_FOR_CALLERS);
    }

    private static List<HeaderField> fields(HttpHeaders headers, Set<String> own) {
        Set<String> named = namedByConnection(headers);
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean passed =
                    !ONE_CONNECTION.contains(name) && !own.contains(name) && !named.contains(name);
            if (passed) {
                fields.add(
                        HeaderField.newBuilder()
                                .setName(header.getKey())
                                .setValue(header.getValue())
                                .build());
            }
        }
        return fields;
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }

    private static Set<String> lowerCase(String... names) {
        Set<String> lower = new HashSet<>();
        for (String name : names) {
            lower.add(name.toLowerCase(Locale.ROOT));
        }
        return lower;
    }
}
