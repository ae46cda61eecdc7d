package org.damaskmoor.core.configuration.internal;

/** What a path prefix covers: itself and what follows it after a slash. Thread-safe. */
final class PathPrefixes {
    private PathPrefixes() {}

    /** Where the path ends: before the query. */
    static int endOf(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path.length() : query;
    }

    /** Whether a prefix that is {@code length} characters long may end there. */
    static boolean isBoundary(String path, int length, int end) {
        return length == 0
                || length == end
                || path.charAt(length) == '/'
                || path.charAt(length - 1) == '/';
    }

    static boolean covers(String prefix, String path) {
        int end = endOf(path);
        return prefix.length() <= end
                && path.startsWith(prefix)
                && isBoundary(path, prefix.length(), end);
    }
}
