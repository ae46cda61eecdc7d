package org.damaskmoor.bench.load;

import java.util.List;

/**
 * A kind of request that callers send. Immutable.
 *
 * @param share how often it is sent, relative to the other kinds
 * @param pathPrefix the path before the visit, quote or item
 * @param booking true for a non-idempotent POST
 * @param callers who sends it
 */
public record RequestKind(double share, String pathPrefix, boolean booking, List<String> callers) {
    public RequestKind {
        callers = List.copyOf(callers);
    }
}
