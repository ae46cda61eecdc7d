package org.damaskmoor.relay.internal.link;

import java.util.List;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;

/** What an entry learns from its links to targets. Confined to the event loop. */
public interface LinkListener {
    /** The outcomes of calls sent to a target. */
    CallOutcomeListener outcomeListener(NodeId target);

    /** A target has said who it is. */
    void onHello(NodeId target, LinkHello hello);

    /** Calls that certainly did not reach the target: not one byte of them was sent. */
    void onUnsent(NodeId target, List<ForwardedCall> calls);

    /** A link was lost over which calls had been sent; their fate is not known. */
    void onLinkLost(NodeId target);

    /** A peer told what it knows of the fleet. */
    void onFleetNews(FleetNews news);
}
