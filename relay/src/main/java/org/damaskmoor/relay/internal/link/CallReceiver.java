package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.ReaderSign;

/** The target's side of links. Confined to the event loop. */
public interface CallReceiver {
    /** An entry has opened a link; returns what the target says of itself. */
    LinkHello greeting(EntryName entry, CallOutcomes outcomes);

    /** A call came. */
    void call(EntryName entry, ForwardedCall call, CallOutcomes outcomes);

    /** An entry asks to stop a call for good that it had sent over a lost link. */
    void seal(EntryName entry, CallSeal seal, CallOutcomes outcomes);

    /** An entry no longer waits for a call. */
    void cancel(EntryName entry, CallCancel cancel);

    /** A link ended. */
    void ended(EntryName entry, CallOutcomes outcomes);

    /** Makes an answer to a peer that asks what the fleet looks like. */
    FleetNews news(FleetRequest request);

    /** A peer told what it knows of the fleet. */
    void onNews(FleetNews news);

    /** A node told that it reads the store for its data centre. */
    void onSign(ReaderSign sign);
}
