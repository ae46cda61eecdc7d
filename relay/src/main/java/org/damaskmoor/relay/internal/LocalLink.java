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
import org.damaskmoor.schema.link.ReaderSign;

/** The way from this node's entry to its own target. Confined to the event loop. */
final class LocalLink implements CallLink {
    private final EntryId self;
    private final TargetCallHandler target;
    private final CallOutcomeListener outcomes;
    private final Timers timers;

    LocalLink(EntryId self, TargetCallHandler target, CallOutcomeListener outcomes, Timers timers) {
        this.self = self;
        this.target = target;
        this.outcomes = outcomes;
        this.timers = timers;
    }

    @Override
    public boolean isUp() {
        return true;
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
        timers.execute(() -> target.onCall(self, call, outcomes));
    }

    @Override
    public void send(CallSeal seal) {
        timers.execute(() -> target.onSeal(self, seal, outcomes));
    }

    @Override
    public void send(CallCancel cancel) {
        timers.execute(() -> target.onCancel(self, cancel));
    }

    @Override
    public void send(FleetNews news) {
        // What this node knows, it knows.
    }

    @Override
    public void send(ReaderSign sign) {
        // What this node knows, it knows.
    }

    @Override
    public void send(FleetRequest request) {
        // What this node knows, it knows.
    }

    @Override
    public void close() {
        // Lives as long as the node.
    }
}
