package org.damaskmoor.node.internal.http;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Which paths are taken. The rules compare paths as they are sent, so a path that an upstream could
 * read as another one, by dot segments, empty segments, backslashes or encoded separators, is
 * refused; else it would pass a rule's path prefix and reach what the rule protects.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestPath {
    private static final Pattern TAKEN =
            Pattern.compile("/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*");
    private static final Pattern DOT_SEGMENT = Pattern.compile("/(?:\\.|%2e){1,2}(?:[;/]|%3b|$)");
    private static final Pattern ENCODED_SEPARATOR = Pattern.compile("%(?:2f|5c|[01][0-9a-f]|7f)");

    private RequestPath() {}

    /** Whether the path means the same to every reader. */
    static boolean isUnambiguous(String path) {
        String lowerCase = path.toLowerCase(Locale.ROOT);
        return TAKEN.matcher(path).matches()
                && !path.contains("//")
                && !DOT_SEGMENT.matcher(lowerCase).find()
                && !ENCODED_SEPARATOR.matcher(lowerCase).find();
    }
}
