package org.damaskmoor.relay.internal.control;

import java.util.Optional;
import java.util.OptionalLong;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.platform.protocol.AnnouncementDecoder;
import org.damaskmoor.platform.protocol.EndpointPaths;
import org.damaskmoor.platform.protocol.MalformedMessageException;
import org.damaskmoor.relay.internal.control.ControlHttpServer.Answer;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.target.TargetCallHandler;

/**
 * Serves the announcements and deregistrations of the upstream. Confined to the event loop.
 *
 * <p>Invariant: an announcement is acknowledged only after it has taken effect.
 */
public final class AnnouncementEndpoint implements ControlHttpServer.RequestHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final TargetCallHandler target;
    private final EventLog log;

    public AnnouncementEndpoint(TargetCallHandler target, EventLog log) {
        this.target = target;
        this.log = log;
    }

    @Override
    public Answer handle(String method, String path, String body) {
        Optional<UpstreamId> announcing = EndpointPaths.announcedUpstream(path);
        Optional<UpstreamId> leaving = EndpointPaths.deregisteredUpstream(path);
        try {
            if (announcing.isPresent()) {
                return acknowledge(
                        target.onAnnouncement(AnnouncementDecoder.decode(announcing.get(), body)));
            }
            if (leaving.isPresent()) {
                OptionalLong startedAt = AnnouncementDecoder.decodeStartTime(body);
                return acknowledge(target.onDeregistration(leaving.get(), startedAt));
            }
        } catch (MalformedMessageException invalid) {
            log.event("announcement-unreadable")
                    .with("path", path)
                    .with("cause", invalid.getMessage())
                    .write();
            return Answer.text(BAD_REQUEST, invalid.getMessage() + "\n");
        }
        return Answer.notFound();
    }

    private static Answer acknowledge(boolean tookEffect) {
        return tookEffect
                ? Answer.json(OK, "{}")
                : Answer.text(CONFLICT, "Another incarnation of the upstream is current.\n");
    }
}
