package org.damaskmoor.relay.internal.link;

import java.util.List;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;

/** Receives what links from an entry to targets report. Confined to the event loop. */
public interface LinkListener {
    /** Returns the listener for the outcomes of calls that were sent to a target. */
    CallOutcomeListener outcomeListener(NodeId target);

    /** A target sent its hello. */
    void onHello(NodeId target, LinkHello hello);

    /** Calls certainly did not reach the target: not one byte of them was sent. */
    void onUnsent(NodeId target, List<ForwardedCall> calls);

    /** A link was lost over which calls had been sent; their outcomes are unknown. */
    void onLinkLost(CallLink link);

    /** A target acknowledged a report of the usage of quotas. */
    default void onQuotaGrant(NodeId target, QuotaGrant grant) {}

    /** A target answered a probe of its reachability. */
    default void onQuotaReport(NodeId target, QuotaReport answer) {}

    /** A peer sent what it knows of the fleet. */
    void onFleetNews(FleetNews update);
}
