package org.damaskmoor.relay.internal.target;

import java.util.Optional;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.core.upstream.UpstreamNotice;

/**
 * What an upstream reports about itself with an answer. Immutable and thread-safe.
 *
 * @param load its load, if the answer tells it
 */
record UpstreamReport(Optional<UpstreamLoad> load, UpstreamNotice notice) {
    /** The report of an upstream that gave no answer. */
    static final UpstreamReport NONE = new UpstreamReport(Optional.empty(), UpstreamNotice.NONE);
}
