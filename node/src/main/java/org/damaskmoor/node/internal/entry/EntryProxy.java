package org.damaskmoor.node.internal.entry;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.ring.BoundedMailbox;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.node.internal.http.CallerLimits;
import org.damaskmoor.node.internal.http.CallerServer;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The entry part of a node: the thread that takes callers' requests and leads them to their
 * replies.
 *
 * <p>Thread-safe: everything is handed to the caller event loop.
 */
public final class EntryProxy {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_FRAMES = 16_384;

    private final EventLoopThread loop;
    private final ServiceRuntimes runtimes;
    private final EntryDispatcher dispatcher;
    private final RequestExplainer explainer;
    private final CallerServer server;
    private final BoundedMailbox<MeshFrame> mailbox;

    /**
     * Creates the duty.
     *
     * @param loop the caller event loop
     * @param self this node
     * @param incarnation this start of it
     * @param settings bounds and the port
     * @param runtimes the services
     * @param parts what the dispatcher works with
     */
    public EntryProxy(
            EventLoopThread loop,
            NodeId self,
            Incarnation incarnation,
            EntrySettings settings,
            ServiceRuntimes runtimes,
            EntryDependencies parts) {
        this.loop = loop;
        this.runtimes = runtimes;
        this.explainer = new RequestExplainer(runtimes, parts.clock());
        this.dispatcher =
                new EntryDispatcher(
                        self,
                        incarnation,
                        settings.limits(),
                        new ConfiguredMatcher(runtimes::matcher),
                        matched -> runtimes.getOrCreate(matched.service()),
                        parts);
        this.server =
                new CallerServer(
                        loop.eventLoop(),
                        settings.address(),
                        settings.callerLimits(),
                        settings.stopTimeout(),
                        dispatcher,
                        parts.clock());
        this.mailbox =
                new BoundedMailbox<>(RING_FRAMES, loop::execute, dispatcher::onFrame, () -> {});
    }

    /**
     * What an entry part is set to. Immutable and thread-safe.
     *
     * @param limits its bounds
     * @param address where callers connect to
     * @param callerLimits bounds of the port for callers
     * @param stopTimeout longest time that a planned stop waits for open requests
     */
    public record EntrySettings(
            EntryLimits limits,
            InetSocketAddress address,
            CallerLimits callerLimits,
            Duration stopTimeout) {}

    /** Opens the port for callers. */
    public CompletableFuture<Void> start() {
        return server.start();
    }

    /** Serves on, but tells callers with each reply to connect elsewhere. Any thread. */
    public void startConnectionDraining() {
        server.startConnectionDraining();
    }

    /** Takes no new connections and finishes the open requests. */
    public CompletableFuture<Void> stop() {
        return server.stop();
    }

    /** Requests that wait for their reply. Any thread. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Takes a frame about a call that this node sent; false when the ring is full. */
    public boolean offer(MeshFrame frame) {
        boolean offered = mailbox.offer(frame);
        if (!offered) {
            logger.atWarning().atMostEvery(1, java.util.concurrent.TimeUnit.SECONDS).log(
                    "event=frame-dropped step=enqueue peer=entry reason=ring-full");
        }
        return offered;
    }

    /** Takes what a peer said of its load in answer to a probe. */
    public void onLoadReport(MeshLink link, MeshFrame frame, LongSupplier clock) {
        loop.execute(
                () ->
                        runtimes.onLoadReport(
                                new TargetId(link.peer(), link.incarnation()),
                                frame.getLoadProbeAnswer().getLoad(),
                                clock.getAsLong()));
    }

    /** A frame was certainly not sent. */
    public void onUnsent(MeshFrame frame, RefusalReason reason) {
        loop.execute(() -> dispatcher.onUnsent(frame, reason));
    }

    /** A connection to a peer is gone; what was sent before the given time is in doubt. */
    public void onLinkLost(NodeId peer, long lastUsedNanoseconds) {
        loop.execute(() -> dispatcher.onConnectionLost(peer, lastUsedNanoseconds));
    }

    /** The members have changed. */
    public void onMembersChanged() {
        loop.execute(runtimes::onMembersChanged);
    }

    /** The configuration has changed. */
    public void onConfigurationChanged(ServiceMatcher changed) {
        loop.execute(() -> runtimes.onConfigurationChanged(changed));
    }

    /** Where a request would go now; empty when no such service is in force. */
    public CompletableFuture<Optional<RequestExplanation>> explain(RequestDescription request) {
        return CompletableFuture.supplyAsync(() -> explainer.explain(request), loop::execute);
    }
}
