package org.damaskmoor.relay.internal.entry;

import java.util.List;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.fixture.IdleLink;
import org.damaskmoor.schema.link.ForwardedCall;

/** A link that is up and records the calls. Confined to one thread. */
final class RecordingLink extends IdleLink {
    private final NodeId target;
    private final List<SentCall> sent;

    RecordingLink(NodeId target, List<SentCall> sent) {
        this.target = target;
        this.sent = sent;
    }

    @Override
    public void send(ForwardedCall call) {
        sent.add(new SentCall(target, call));
    }
}
