package org.damaskmoor.relay.internal.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;

/** Reads how long an upstream keeps an idle connection. Thread-safe: pure functions. */
final class KeepAliveTimeout {
    private static final String HEADER = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private KeepAliveTimeout() {}

    /** The time that the answer tells, in milliseconds, or the one known before. */
    static long parseMilliseconds(HttpResponse response, long otherwise) {
        String text = response.headers().get(HEADER);
        if (text == null) {
            return otherwise;
        }
        for (String parameter : text.toLowerCase(Locale.ROOT).split(",", -1)) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith(TIMEOUT)) {
                return seconds(trimmed.substring(TIMEOUT.length()), otherwise);
            }
        }
        return otherwise;
    }

    private static long seconds(String text, long otherwise) {
        try {
            return Long.parseLong(text.trim()) * MILLISECONDS_PER_SECOND;
        } catch (NumberFormatException unreadable) {
            return otherwise;
        }
    }
}
