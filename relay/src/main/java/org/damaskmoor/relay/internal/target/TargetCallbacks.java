package org.damaskmoor.relay.internal.target;

import java.util.Collection;
import java.util.Optional;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.routetable.ColdStart;

/** Callbacks and queries of a target to the rest of its node. Confined to the event loop. */
public interface TargetCallbacks {
    /** The upstream appeared, is leaving, went down or came up. */
    void onUpstreamChanged();

    /** Whether a request that entered at this node has failed since the given time. */
    boolean failedSince(long time);

    /** Whether the configuration in force has tenants, which share the upstream's capacity. */
    boolean hasTenants();

    /** Path of the upstream's health check; empty when there is none. */
    String healthPath();

    /**
     * What the upstream tolerates while it is cold, by the configuration in force; empty while no
     * configuration is known and it may have cold limits.
     */
    Optional<ColdStart> coldStart();

    /**
     * Whether the entry of this node lately sent calls of the upstream's service to other data
     * centres for lack of room.
     */
    boolean isExporting();

    /** Whether the data centre of this node is evacuated. */
    boolean isEvacuated();

    /**
     * Whether the regions that the tenant allows contain this node's; true for a tenant that is
     * empty or not in the configuration in force.
     */
    boolean isAllowedHere(String tenant);

    /** The upstream crashed while these requests ran. */
    void onUpstreamCrashed(Collection<RequestFingerprint> running);

    /** A request was answered. */
    void onAnswered(RequestFingerprint request);

    /** Whether a request is known to crash the upstreams that run it. */
    boolean isQuarantined(RequestFingerprint request);
}
