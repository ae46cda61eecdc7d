package org.damaskmoor.core.atmostonce;

import java.util.Objects;
import org.damaskmoor.core.id.RequestId;

/**
 * Identifies one attempt at a request in messages between nodes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param attempt the number of the attempt; the first one is 1
 */
public record AttemptId(RequestId request, int attempt) {
    public AttemptId {
        Objects.requireNonNull(request, "request");
    }

    @Override
    public String toString() {
        return request + "#" + attempt;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId that
                && attempt == that.attempt
                && request.equals(that.request);
    }

    @Override
    public int hashCode() {
        return 31 * request.hashCode() + attempt;
    }
}
