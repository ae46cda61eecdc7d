package org.damaskmoor.node.internal.entry;

import java.util.Optional;
import org.damaskmoor.node.internal.http.CallerRequest;

/** Finds what the configuration in force says of a request. Called on the caller event loop. */
@FunctionalInterface
public interface RequestMatcher {
    /** What holds for the request; empty when no service matches its host and path. */
    Optional<MatchedRequest> match(CallerRequest request);
}
