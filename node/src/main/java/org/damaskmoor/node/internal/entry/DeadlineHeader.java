package org.damaskmoor.node.internal.entry;

import java.util.OptionalLong;
import org.damaskmoor.node.internal.http.CallerRequest;

/** Reads what a caller says of its patience. Stateless and thread-safe. */
final class DeadlineHeader {
    private static final String FIELD = "Damaskmoor-Deadline-Ms";

    private DeadlineHeader() {}

    /** Milliseconds that the caller still waits; empty when it names no valid number. */
    static OptionalLong timeoutMilliseconds(CallerRequest request) {
        String value = request.header(FIELD);
        if (value.isEmpty()) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Math.max(0, Long.parseLong(value)));
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }
}
