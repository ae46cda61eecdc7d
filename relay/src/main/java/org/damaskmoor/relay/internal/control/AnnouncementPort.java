package org.damaskmoor.relay.internal.control;

import java.util.Optional;
import java.util.OptionalLong;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.platform.machines.AnnouncementDecoder;
import org.damaskmoor.platform.machines.CallPaths;
import org.damaskmoor.platform.machines.UnreadableMessageException;
import org.damaskmoor.relay.internal.control.SmallHttpServer.Answer;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.target.TargetDesk;

/**
 * Takes what the upstream says of itself. Confined to the event loop.
 *
 * <p>Invariant: an announcement is acknowledged only after it is in force.
 */
public final class AnnouncementPort implements SmallHttpServer.Answerer {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private final TargetDesk target;
    private final EventLog log;

    public AnnouncementPort(TargetDesk target, EventLog log) {
        this.target = target;
        this.log = log;
    }

    @Override
    public Answer answer(String method, String path, String body) {
        Optional<UpstreamId> announcing = CallPaths.announcing(path);
        Optional<UpstreamId> leaving = CallPaths.leaving(path);
        try {
            if (announcing.isPresent()) {
                target.announce(AnnouncementDecoder.decode(announcing.get(), body));
                return Answer.json(OK, "{}");
            }
            if (leaving.isPresent()) {
                OptionalLong born = AnnouncementDecoder.born(body);
                target.leave(leaving.get(), born);
                return Answer.json(OK, "{}");
            }
        } catch (UnreadableMessageException unreadable) {
            log.event("announcement-unreadable")
                    .with("path", path)
                    .with("cause", unreadable.getMessage())
                    .write();
            return Answer.text(BAD_REQUEST, unreadable.getMessage() + "\n");
        }
        return Answer.nothingHere();
    }
}
