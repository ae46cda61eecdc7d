package org.damaskmoor.core.configuration.internal;

import java.util.Locale;

/** Host fields without port, in lower case. Without state, so thread-safe. */
public final class HostNames {
    private HostNames() {}

    /** The form in which hosts are compared; keeps a port, which the validator refuses. */
    public static String normalise(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    /** Where the host ends in a Host field: before the port. */
    static int endOf(String field) {
        int bracket = field.startsWith("[") ? field.indexOf(']') : -1;
        if (bracket > 0) {
            return bracket + 1;
        }
        int colon = field.indexOf(':');
        return colon < 0 ? field.length() : colon;
    }
}
