package org.damaskmoor.core.configuration.internal;

/** Matches path prefixes: a prefix covers itself and what follows it after a slash. Thread-safe. */
final class PathPrefixes {
    private PathPrefixes() {}

    /** Returns the index at which the path ends: before the query. */
    static int endOf(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path.length() : query;
    }

    /** Returns whether a covering prefix may end after {@code length} characters of the path. */
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
