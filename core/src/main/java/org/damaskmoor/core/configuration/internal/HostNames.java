package org.damaskmoor.core.configuration.internal;

import java.util.Locale;

/** Normalises host names in Host fields. Stateless and thread-safe. */
public final class HostNames {
    private HostNames() {}

    /**
     * Returns the form in which hosts are compared; a port is kept, and rejected by the validator.
     */
    public static String normalise(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    /** Returns the index at which the host ends in a Host field: before the port. */
    static int endOf(String field) {
        int bracket = field.startsWith("[") ? field.indexOf(']') : -1;
        if (bracket > 0) {
            return bracket + 1;
        }
        int colon = field.indexOf(':');
        return colon < 0 ? field.length() : colon;
    }
}
