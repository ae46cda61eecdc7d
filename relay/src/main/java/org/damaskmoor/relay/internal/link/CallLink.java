package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;

/** The link from an entry to one target. Confined to the event loop. */
public interface CallLink {
    /** Whether calls can be sent without waiting for a connection. */
    boolean isUp();

    /** Whether the last connection was lost or could not be opened, and no other is up yet. */
    boolean isFailing();

    /** The incarnation of the target; 0 while it is unknown. */
    long targetIncarnation();

    /** Opens the link unless it is open or backing off after a failed connection. */
    void open();

    /** Sends a call. */
    void send(ForwardedCall call);

    /** Asks the target to seal a lost call, over a link that is newer than the one of the call. */
    void send(CallSeal seal);

    /** Notifies the target that the entry no longer waits for a call. */
    void send(CallCancel cancel);

    /** Sends what this node knows of the fleet. */
    void send(FleetNews update);

    /** Sends the heartbeat of this node as the store reader of its data centre. */
    void send(ReaderSign sign);

    /** Reports the usage of quotas to the target's node, a coordinator. */
    void send(QuotaReport report);

    /** Sends shares of quotas to the target's node, an entry. */
    void send(QuotaGrant grant);

    /** Requests what the target's node knows of the fleet. */
    void send(FleetRequest request);

    /**
     * The target is no longer a member: the link takes no more calls, and closes permanently when
     * the calls that were sent over it have ended.
     *
     * @param onClosed runs when the link closes, which may be at once
     */
    void retire(Runnable onClosed);

    /** The target of a retired link is a member again, at the same address. */
    void reinstate();

    /** Closes the link permanently, without waiting for the outcomes of calls. */
    void close();
}
