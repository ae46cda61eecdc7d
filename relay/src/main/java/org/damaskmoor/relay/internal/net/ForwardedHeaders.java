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

/** Selects the headers that are passed on. Thread-safe: pure functions. */
public final class ForwardedHeaders {
    /** Hop-by-hop headers, and the length, which each connection sets itself. */
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
                    "expect",
                    "content-length");

    /** Request headers that the nodes set themselves. */
    private static final Set<String> SET_BY_NODES =
            lowerCase(
                    HeaderNames.REQUEST_ID,
                    HeaderNames.REMAINING_MILLISECONDS,
                    HeaderNames.EXPECTED_UPSTREAM,
                    HeaderNames.CALLER_SERVICE);

    /** Answer headers that are meant for the nodes only, or that the entry sets again. */
    private static final Set<String> NOT_FOR_CALLERS =
            lowerCase(HeaderNames.UPSTREAM_LOAD, HeaderNames.REQUEST_ID);

    private ForwardedHeaders() {}

    /** The headers of a caller's request that are passed on to the upstream. */
    public static List<HeaderField> ofRequest(HttpHeaders headers) {
        return fields(headers, SET_BY_NODES);
    }

    /** The headers of an upstream's answer that are passed on to the caller. */
    public static List<HeaderField> ofAnswer(HttpHeaders headers) {
        return fields(headers, NOT_FOR_CALLERS);
    }

    private static List<HeaderField> fields(HttpHeaders headers, Set<String> excluded) {
        Set<String> namedInConnection = namedInConnection(headers);
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean forwarded =
                    !HOP_BY_HOP.contains(name)
                            && !excluded.contains(name)
                            && !namedInConnection.contains(name);
            if (forwarded) {
                fields.add(
                        HeaderField.newBuilder()
                                .setName(header.getKey())
                                .setValue(header.getValue())
                                .build());
            }
        }
        return fields;
    }

    private static Set<String> namedInConnection(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> namedInConnection = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                namedInConnection.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return namedInConnection;
    }

    private static Set<String> lowerCase(String... names) {
        Set<String> lower = new HashSet<>();
        for (String name : names) {
            lower.add(name.toLowerCase(Locale.ROOT));
        }
        return lower;
    }
}
