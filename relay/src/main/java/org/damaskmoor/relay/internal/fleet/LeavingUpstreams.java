package org.damaskmoor.relay.internal.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * Remembers which incarnations of upstreams have said that they are leaving, on behalf of the nodes
 * beside them: such a node forgets it in a restart, and may not be able to read it back from the
 * store.
 *
 * <p>Confined to the event loop. Invariant: remembers at most {@link #MAX_INCARNATIONS}
 * incarnations, the most recent ones.
 */
public final class LeavingUpstreams {
    /** More than the upstreams of a fleet that leave within a few minutes. */
    private static final int MAX_INCARNATIONS = 4096;

    private final EventLog log;
    private final Set<Long> digests = new LinkedHashSet<>();

    public LeavingUpstreams(EventLog log) {
        this.log = log;
    }

    /** The incarnation with the digest has said that it is leaving. */
    void add(long digest) {
        if (digests.add(digest) && digests.size() > MAX_INCARNATIONS) {
            long oldest = digests.iterator().next();
            digests.remove(oldest);
            log.event("leaving-upstream-forgotten")
                    .with("digest", oldest)
                    .with("cause", "more than " + MAX_INCARNATIONS + " have left")
                    .write();
        }
    }

    /** Whether the incarnation with the digest has said that it is leaving. */
    boolean contains(long digest) {
        return digests.contains(digest);
    }
}
