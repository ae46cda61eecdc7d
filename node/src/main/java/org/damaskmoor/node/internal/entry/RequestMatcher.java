package org.damaskmoor.node.internal.entry;

import java.util.Optional;
import org.damaskmoor.node.internal.http.CallerRequest;

/** Looks up the configuration that applies to a request. Called on the caller event loop. */
@FunctionalInterface
public interface RequestMatcher {
    /** Returns the settings that apply; empty if no service matches the request's host and path. */
    Optional<MatchedRequest> match(CallerRequest request);
}
