package org.damaskmoor.bench.load;

import java.util.List;

/**
 * A kind of request that callers send. Immutable.
 *
 * @param share relative frequency among all kinds
 * @param pathPrefix path before the item number
 * @param booking true for a non-idempotent POST
 * @param callers names of the callers that send it
 */
public record RequestKind(double share, String pathPrefix, boolean booking, List<String> callers) {
    public RequestKind {
        callers = List.copyOf(callers);
    }
}
