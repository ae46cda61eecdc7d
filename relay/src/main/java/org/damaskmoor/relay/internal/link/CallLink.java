package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.ReaderSign;

/** The way from an entry to one target. Confined to the event loop. */
public interface CallLink {
    /** Whether calls may be sent now without waiting for a connection. */
    boolean isUp();

    /** The incarnation of the target at the other end; 0 while it is not known. */
    long targetIncarnation();

    /** Opens the link unless it is open, or its target has just been found out of reach. */
    void open();

    /** Sends a call. */
    void send(ForwardedCall call);

    /** Asks for a lost call to be stopped for good, over a link that is newer than the call's. */
    void send(CallSeal seal);

    /** Tells that nobody waits for a call any more. */
    void send(CallCancel cancel);

    /** Tells what the fleet looks like from here. */
    void send(FleetNews news);

    /** Tells that this node reads the store for its data centre. */
    void send(ReaderSign sign);

    /** Asks what the fleet looks like from there. */
    void send(FleetRequest request);

    /** Ends the link for good. */
    void close();
}
