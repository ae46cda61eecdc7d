package org.damaskmoor.core.configuration.internal;

import java.util.List;

/** HTTP methods as bits of a mask. Stateless and thread-safe. */
public final class HttpMethods {
    /** All methods that rules may name. */
    public static final List<String> KNOWN =
            List.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE");

    private static final int IDEMPOTENT =
            maskOf(List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"));

    private HttpMethods() {}

    /** Returns whether rules may name the method. */
    public static boolean isKnown(String method) {
        return KNOWN.contains(method);
    }

    /** Returns the bit of a method; 0 if it is unknown. */
    static int bitOf(String method) {
        int index = KNOWN.indexOf(method);
        return index < 0 ? 0 : 1 << index;
    }

    /** Returns the mask of a rule's methods; all bits if it names none. */
    static int maskOf(List<String> methods) {
        int mask = 0;
        for (String method : methods) {
            mask |= bitOf(method);
        }
        return methods.isEmpty() ? -1 : mask;
    }

    /** Returns whether a request with this method is idempotent if no rule matches it. */
    static boolean isIdempotent(String method) {
        return (bitOf(method) & IDEMPOTENT) != 0;
    }
}
