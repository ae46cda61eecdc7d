package org.damaskmoor.relay.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * The links to nodes that are no longer members, or have moved, while calls that were sent over
 * them have not ended.
 *
 * <p>Confined to the event loop. Invariant: a node that returns at the same address gets its former
 * link again, because the target would close that link for a second one, with the calls on it.
 */
final class RetiredLinks {
    private final EventLog log;
    private final Map<Endpoint, CallLink> links = new HashMap<>();

    private record Endpoint(NodeId node, String address) {}

    RetiredLinks(EventLog log) {
        this.log = log;
    }

    /** Closes the link to a node as soon as no call needs it. */
    void retire(FleetTarget former) {
        Endpoint endpoint = new Endpoint(former.node(), former.member().getAddress());
        links.put(endpoint, former.link());
        former.link().retire(() -> links.remove(endpoint));
        if (links.containsKey(endpoint)) {
            log.event("link-retired").with("node", former.node()).write();
        }
    }

    /** Returns the link to a node that is a member again, if it has not been closed. */
    Optional<CallLink> reinstate(NodeId node, String address) {
        Optional<CallLink> link = Optional.ofNullable(links.remove(new Endpoint(node, address)));
        link.ifPresent(CallLink::reinstate);
        return link;
    }
}
