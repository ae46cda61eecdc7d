package org.damaskmoor.relay.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.relay.internal.caller.CallerServer;
import org.damaskmoor.relay.internal.control.ControlHttpServer;
import org.damaskmoor.relay.internal.link.LinkServer;

/**
 * The servers of a node. Immutable; its parts are confined to the event loop.
 *
 * @param announcements for the upstream
 * @param links for other nodes
 * @param readiness for the platform
 * @param callers for callers
 * @param metrics for metrics, if they are served
 */
record NodePorts(
        ControlHttpServer announcements,
        LinkServer links,
        ControlHttpServer readiness,
        CallerServer callers,
        Optional<ControlHttpServer> metrics) {

    /** Opens all ports, the one for callers last. */
    CompletableFuture<Void> start() {
        return announcements
                .start()
                .thenCompose(done -> links.start())
                .thenCompose(done -> readiness.start())
                .thenCompose(done -> callers.start())
                .thenCompose(done -> startMetrics());
    }

    private CompletableFuture<Void> startMetrics() {
        return metrics.map(ControlHttpServer::start)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    /** Whether callers and other nodes have taken all that was answered. */
    boolean isFlushed() {
        return !callers.hasUnwrittenReplies() && !links.hasUnwrittenOutcomes();
    }

    /** Closes all ports. */
    void stop() {
        callers.stop();
        links.stop();
        readiness.stop();
        announcements.stop();
        metrics.ifPresent(ControlHttpServer::stop);
    }
}
