package org.damaskmoor.relay.internal;

import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;

/** The link from this node's entry to its own target. Confined to the event loop. */
final class LocalLink implements CallLink {
    private final EntryId self;
    private final TargetCallHandler target;
    private final CallOutcomeListener outcomeListener;
    private final Timers timers;

    LocalLink(
            EntryId self,
            TargetCallHandler target,
            CallOutcomeListener outcomeListener,
            Timers timers) {
        this.self = self;
        this.target = target;
        this.outcomeListener = outcomeListener;
        this.timers = timers;
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
        return self.incarnation().value();
    }

    @Override
    public void open() {
        // Always open.
    }

    @Override
    public void send(ForwardedCall call) {
        timers.execute(() -> target.onCall(self, call, outcomeListener));
    }

    @Override
    public void send(CallSeal seal) {
        timers.execute(() -> target.onSeal(self, seal, outcomeListener));
    }

    @Override
    public void send(CallCancel cancel) {
        timers.execute(() -> target.onCancel(self, cancel));
    }

    @Override
    public void send(FleetNews update) {
        // This node needs no messages about what it already knows.
    }

    @Override
    public void send(ReaderSign sign) {
        // This node needs no messages about what it already knows.
    }

    @Override
    public void send(QuotaReport report) {
        // Reports of this node to itself need no link.
    }

    @Override
    public void send(QuotaGrant grant) {
        // Grants of this node to itself need no link.
    }

    @Override
    public void send(FleetRequest request) {
        // This node needs no messages about what it already knows.
    }

    @Override
    public void retire(Runnable onClosed) {
        // This node is always a member.
    }

    @Override
    public void reinstate() {
        // This node is always a member.
    }

    @Override
    public void close() {
        // Open as long as the node runs.
    }
}
