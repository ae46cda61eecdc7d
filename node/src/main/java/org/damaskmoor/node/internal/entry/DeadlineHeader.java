package org.damaskmoor.node.internal.entry;

import java.util.OptionalLong;
import org.damaskmoor.node.internal.http.CallerRequest;

/** Parses the deadline header of a request. Stateless and thread-safe. */
final class DeadlineHeader {
    private static final String HEADER = "Damaskmoor-Deadline-Ms";

    private DeadlineHeader() {}

    /** The timeout that the caller asks for; empty if the header is absent or not a number. */
    static OptionalLong timeoutMilliseconds(CallerRequest request) {
        String value = request.header(HEADER);
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
