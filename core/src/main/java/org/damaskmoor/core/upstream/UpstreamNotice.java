package org.damaskmoor.core.upstream;

import java.util.OptionalDouble;

/**
 * What an upstream says about itself with an answer. Immutable and thread-safe.
 *
 * @param namesLimit whether the answer names a request limit, readable or not
 * @param requestsPerSecond requests a second that the upstream accepts from all nodes together, as
 *     long as its answers say so; empty if no limit is named or it can't be read
 * @param leaving whether the upstream is leaving
 */
public record UpstreamNotice(
        boolean namesLimit, OptionalDouble requestsPerSecond, boolean leaving) {
    /** The notice of an upstream that names no limit and is not leaving. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(false, OptionalDouble.empty(), false);
}
