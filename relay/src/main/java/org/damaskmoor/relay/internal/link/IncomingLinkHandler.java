package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.ReaderSign;

/** The target's side of links. Confined to the event loop. */
public interface IncomingLinkHandler {
    /** An entry has opened a link; returns what the target says of itself. */
    LinkHello createHello(EntryId entry, CallOutcomeListener outcomes);

    /** A call came. */
    void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomes);

    /** An entry asks to stop a call for good that it had sent over a lost link. */
    void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomes);

    /** An entry no longer waits for a call. */
    void onCancel(EntryId entry, CallCancel cancel);

    /** A link ended. */
    void onLinkClosed(EntryId entry, CallOutcomeListener outcomes);

    /** Makes an answer to a peer that asks what the fleet looks like. */
    FleetNews createFleetNews(FleetRequest request);

    /** A peer told what it knows of the fleet. */
    void onFleetNews(FleetNews news);

    /** A node told that it reads the store for its data centre. */
    void onReaderSign(ReaderSign sign);
}
