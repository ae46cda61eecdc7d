package org.damaskmoor.report.internal;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;

/** Validates option values. Stateless and thread-safe. */
final class OptionValidator {
    private static final long MILLISECONDS_PER_MINUTE = 60_000;
    private static final int NAME_CHARACTERS = 128;

    private OptionValidator() {}

    static URI requireUrl(String flag, String value) {
        String allowed = "a URL such as http://127.0.0.1:9001, with host and port";
        if (value == null || value.isEmpty()) {
            throw new InvalidOptionException(flag, "", allowed);
        }
        try {
            URI url = new URI(value);
            boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            if (http && url.getHost() != null && url.getQuery() == null) {
                return url;
            }
        } catch (URISyntaxException malformed) {
            throw new InvalidOptionException(flag, value, allowed);
        }
        throw new InvalidOptionException(flag, value, allowed);
    }

    static long parseEpochMinute(String flag, String value, long defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        try {
            return Math.floorDiv(Instant.parse(value).toEpochMilli(), MILLISECONDS_PER_MINUTE);
        } catch (DateTimeParseException malformed) {
            throw new InvalidOptionException(
                    flag, value, "an instant such as 2026-12-04T04:00:00Z");
        }
    }

    static String requireOneOf(String flag, String value, List<String> allowed) {
        if (!allowed.contains(value)) {
            throw new InvalidOptionException(flag, value, "one of " + String.join(", ", allowed));
        }
        return value;
    }

    static String requireName(String flag, String value) {
        if (value != null && (value.isBlank() || value.length() > NAME_CHARACTERS)) {
            throw new InvalidOptionException(
                    flag, value, "a name of 1 to " + NAME_CHARACTERS + " characters");
        }
        return value;
    }
}
