package org.damaskmoor.relay.internal.entry;

import org.damaskmoor.core.quarantine.RequestFingerprint;

/** Requests that are quarantined because they crash upstreams. Confined to the event loop. */
public interface QuarantinedRequests {
    /**
     * Whether any crash is known. If none is, the fingerprint of a request need not be computed.
     */
    boolean hasAny();

    /** Whether the request is quarantined. */
    boolean contains(RequestFingerprint request);
}
