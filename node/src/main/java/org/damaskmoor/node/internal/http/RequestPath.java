package org.damaskmoor.node.internal.http;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Decides which paths are accepted. The rules compare paths as sent, so a path that an upstream
 * could normalize to another one (dot segments, empty segments, backslashes, encoded separators) is
 * refused: it could match the path prefix of one rule and reach a resource that another rule
 * protects.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestPath {
    private static final Pattern ALLOWED =
            Pattern.compile("/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*");
    private static final Pattern DOT_SEGMENT = Pattern.compile("/(?:\\.|%2e){1,2}(?:[;/]|%3b|$)");
    private static final Pattern ENCODED_SEPARATOR = Pattern.compile("%(?:2f|5c|[01][0-9a-f]|7f)");

    private RequestPath() {}

    /** Whether every parser reads the path in the same way. */
    static boolean isUnambiguous(String path) {
        String lowerCase = path.toLowerCase(Locale.ROOT);
        return ALLOWED.matcher(path).matches()
                && !path.contains("//")
                && !DOT_SEGMENT.matcher(lowerCase).find()
                && !ENCODED_SEPARATOR.matcher(lowerCase).find();
    }
}
