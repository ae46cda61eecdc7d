package org.damaskmoor.relay.internal.target;

import java.util.Optional;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.core.upstream.UpstreamNotice;

/**
 * What an upstream reports about itself with an answer. Immutable and thread-safe.
 *
 * @param load its load, if the answer tells it
 * @param coldMilliseconds time for which it remains cold, as in {@link
 *     UpstreamAnnouncement#coldMilliseconds}
 */
record UpstreamReport(
        Source source, Optional<UpstreamLoad> load, UpstreamNotice notice, long coldMilliseconds) {
    /** The report of an upstream that gave no answer. */
    static final UpstreamReport NONE =
            new UpstreamReport(
                    Source.REFUSAL,
                    Optional.empty(),
                    UpstreamNotice.NONE,
                    UpstreamAnnouncement.COLD_NOT_TOLD);

    /** The kind of answer with which a report came. */
    enum Source {
        /** An answer to a call that was run. */
        ANSWER,
        /** An answer to a request that was not run. */
        REFUSAL,
        /** An answer to a health check. */
        HEALTH_CHECK
    }
}
