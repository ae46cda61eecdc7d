package org.damaskmoor.node.internal.http;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Counts callers' connections and decides which exceed the limits.
 *
 * <p>Confined to the caller event loop. Invariant: the counts are the calls of {@link #register}
 * less those of {@link #unregister}; an address without connections takes no memory.
 */
final class ConnectionLimiter {
    private final CallerLimits limits;
    private final Map<InetAddress, Integer> byAddress = new HashMap<>();
    private int total;

    ConnectionLimiter(CallerLimits limits) {
        this.limits = limits;
    }

    /** Counts a new connection; returns the reason to refuse it if it exceeds a limit. */
    Optional<RefusalReason> register(InetAddress address) {
        total++;
        int fromAddress = byAddress.merge(address, 1, Integer::sum);
        if (fromAddress > limits.connectionsPerCaller()) {
            return Optional.of(RefusalReason.CALLER_OVER_SHARE);
        }
        return total > limits.connections()
                ? Optional.of(RefusalReason.NODE_BUSY)
                : Optional.empty();
    }

    /** Stops counting a connection that was closed. */
    void unregister(InetAddress address) {
        total--;
        byAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }
}
