package org.damaskmoor.relay.internal.entry;

import org.damaskmoor.core.quarantine.RequestFingerprint;

/** The requests that are held back because they crash upstreams. Confined to the event loop. */
public interface QuarantinedRequests {
    /** Whether any crash is known; spares the fingerprint of each request when none is. */
    boolean hasAny();

    /** Whether this request is held back. */
    boolean contains(RequestFingerprint request);
}
