package org.damaskmoor.relay.internal.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;

/** Parses how long an upstream keeps an idle connection open. Thread-safe: pure functions. */
final class KeepAliveTimeout {
    private static final String HEADER = "Keep-Alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private KeepAliveTimeout() {}

    /** The timeout of the Keep-Alive header in milliseconds, or the default if there is none. */
    static long parseMilliseconds(HttpResponse response, long defaultMilliseconds) {
        String text = response.headers().get(HEADER);
        if (text == null) {
            return defaultMilliseconds;
        }
        for (String parameter : text.toLowerCase(Locale.ROOT).split(",", -1)) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith(TIMEOUT_PARAMETER)) {
                return parseSeconds(
                        trimmed.substring(TIMEOUT_PARAMETER.length()), defaultMilliseconds);
            }
        }
        return defaultMilliseconds;
    }

    private static long parseSeconds(String text, long defaultMilliseconds) {
        try {
            return Long.parseLong(text.trim()) * MILLISECONDS_PER_SECOND;
        } catch (NumberFormatException invalid) {
            return defaultMilliseconds;
        }
    }
}
