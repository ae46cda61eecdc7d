package org.damaskmoor.node.internal.http;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Counts callers' connections and says which are too many.
 *
 * <p>Confined to the caller event loop. Invariant: the counts are those of {@link #register} less
 * those of {@link #unregister}, and an address without connections takes no memory.
 */
final class ConnectionLimiter {
    private final CallerLimits limits;
    private final Map<InetAddress, Integer> byAddress = new HashMap<>();
    private int all;

    ConnectionLimiter(CallerLimits limits) {
        this.limits = limits;
    }

    /** Counts a connection; returns why it is one too many, if it is. */
    Optional<RefusalReason> register(InetAddress address) {
        all++;
        int ofCaller = byAddress.merge(address, 1, Integer::sum);
        if (ofCaller > limits.connectionsPerCaller()) {
            return Optional.of(RefusalReason.CALLER_OVER_SHARE);
        }
        return all > limits.connections() ? Optional.of(RefusalReason.NODE_BUSY) : Optional.empty();
    }

    /** A counted connection is closed. */
    void unregister(InetAddress address) {
        all--;
        byAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }
}
