package org.damaskmoor.relay.internal.target;

import java.util.ArrayDeque;
import org.damaskmoor.core.upstream.UpstreamNotice;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Logs the request limits that the upstream names, with the number of calls that were started since
 * the last line, so that the log tells whether a limit was kept. Confined to the event loop.
 */
final class NoticeMonitor {
    /** Interval of the lines while a limit is named. */
    private static final long LOG_INTERVAL_MILLISECONDS = 1000;

    /** Time over which the starts of a line are counted. */
    private static final long WINDOW_MILLISECONDS = 4000;

    private final Timers timers;
    private final EventLog log;
    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private UpstreamNotice last = UpstreamNotice.NONE;
    private long loggedAt;

    NoticeMonitor(Timers timers, EventLog log) {
        this.timers = timers;
        this.log = log;
    }

    /** The kind of answer with which a notice came. */
    enum Source {
        /** An answer to a call that was run. */
        ANSWER,
        /** An answer to a call that was not run. */
        REFUSAL,
        /** An answer to a health check. */
        PROBE
    }

    /** A call was handed over to the upstream. */
    void onCallStarted() {
        starts.addLast(timers.now());
        removeOldStarts();
    }

    /** The upstream answered. */
    void onNotice(UpstreamNotice notice, Source source) {
        boolean isDue = timers.now() - loggedAt >= LOG_INTERVAL_MILLISECONDS;
        if (!notice.equals(last) || (notice.namesLimit() && isDue)) {
            removeOldStarts();
            log.event("upstream-notice")
                    .with("limit", notice.requestsPerSecond().orElse(-1))
                    .with("leaving", notice.leaving())
                    .with("source", source)
                    .with("starts_4s", starts.size())
                    .write();
            loggedAt = timers.now();
        }
        last = notice;
    }

    private void removeOldStarts() {
        long oldest = timers.now() - WINDOW_MILLISECONDS;
        while (!starts.isEmpty() && starts.peekFirst() < oldest) {
            starts.removeFirst();
        }
    }
}
