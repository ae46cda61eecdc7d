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
 * Takes what the upstream says of itself. Confined to the event loop.
 *
 * <p>Invariant: an announcement is acknowledged only after it is in force.
 */
public final class AnnouncementEndpoint implements ControlHttpServer.Answerer {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private final TargetCallHandler target;
    private final EventLog log;

    public AnnouncementEndpoint(TargetCallHandler target, EventLog log) {
        this.target = target;
        this.log = log;
    }

    @Override
    public Answer answer(String method, String path, String body) {
        Optional<UpstreamId> announcing = EndpointPaths.announcedUpstream(path);
        Optional<UpstreamId> leaving = EndpointPaths.deregisteredUpstream(path);
        try {
            if (announcing.isPresent()) {
                target.onAnnouncement(AnnouncementDecoder.decode(announcing.get(), body));
                return Answer.json(OK, "{}");
            }
            if (leaving.isPresent()) {
                OptionalLong born = AnnouncementDecoder.decodeStartTime(body);
                target.onDeregistration(leaving.get(), born);
                return Answer.json(OK, "{}");
            }
        } catch (MalformedMessageException unreadable) {
            log.event("announcement-unreadable")
                    .with("path", path)
                    .with("cause", unreadable.getMessage())
                    .write();
            return Answer.text(BAD_REQUEST, unreadable.getMessage() + "\n");
        }
        return Answer.nothingHere();
    }
}
