package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamTracker.Change;
import org.damaskmoor.relay.internal.log.EventLog;

/** Logs which upstreams appear and leave. Confined to the event loop. */
final class UpstreamChangeLog {
    private final EventLog log;

    UpstreamChangeLog(EventLog log) {
        this.log = log;
    }

    /** An announcement changed the upstream. */
    void onAnnounced(Change change, UpstreamAnnouncement announcement) {
        log.event(change == Change.LEAVING ? "upstream-leaving" : "upstream-appeared")
                .with("upstream", announcement.id())
                .with("service", announcement.service())
                .with("born", announcement.startEpochMilliseconds())
                .with("slots", announcement.slots())
                .with("sequence", announcement.sequence())
                .write();
    }

    /** A message that the upstream leaves has taken effect. */
    void onLeaving(UpstreamId id, String step) {
        log.event("upstream-leaving").with("upstream", id).with("step", step).write();
    }

    /** A message has not taken effect, because it may be a late one of another incarnation. */
    void onUnconfirmed(UpstreamId id, String step, boolean leaves, UpstreamAnnouncement current) {
        log.event("upstream-unconfirmed")
                .with("upstream", id)
                .with("step", step)
                .with("leaves", leaves)
                .with("current", current.id())
                .with("current_born", current.startEpochMilliseconds())
                .with("current_sequence", current.sequence())
                .write();
    }
}
