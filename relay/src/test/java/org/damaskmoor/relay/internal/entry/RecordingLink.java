package org.damaskmoor.relay.internal.entry;

import java.util.List;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;

/** A link that is up and records the calls. Confined to one thread. */
final class RecordingLink implements CallLink {
    private final NodeId target;
    private final List<SentCall> sent;

    RecordingLink(NodeId target, List<SentCall> sent) {
        this.target = target;
        this.sent = sent;
    }

    @Override
    public boolean isUp() {
        return true;
    }

    @Override
    public boolean isFailing() {
        return false;
    }

    @Override
    public long targetIncarnation() {
        return 1;
    }

    @Override
    public void open() {}

    @Override
    public void send(ForwardedCall call) {
        sent.add(new SentCall(target, call));
    }

    @Override
    public void send(CallSeal seal) {}

    @Override
    public void send(CallCancel cancel) {}

    @Override
    public void send(FleetNews update) {}

    @Override
    public void send(ReaderSign sign) {}

    @Override
    public void send(QuotaReport report) {}

    @Override
    public void send(QuotaGrant grant) {}

    @Override
    public void send(FleetRequest request) {}

    @Override
    public void retire(Runnable onClosed) {
        onClosed.run();
    }

    @Override
    public void reinstate() {}

    @Override
    public void close() {}
}
