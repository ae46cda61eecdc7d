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
 * The entry role of a node: accepts callers' requests on its own thread and proxies each to a
 * target.
 *
 * <p>Thread-safe: methods post their work to the caller event loop.
 */
public final class EntryProxy {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAILBOX_CAPACITY_FRAMES = 16_384;

    private final EventLoopThread loop;
    private final ServiceRuntimes runtimes;
    private final EntryDispatcher dispatcher;
    private final RequestExplainer explainer;
    private final CallerServer server;
    private final BoundedMailbox<MeshFrame> mailbox;

    /**
     * Creates an entry proxy that does not listen yet.
     *
     * @param loop the caller event loop
     * @param self this node's id
     * @param incarnation this node's current incarnation
     * @param settings limits and listen address
     * @param runtimes routing state of the services
     * @param dependencies dependencies of the dispatcher
     */
    public EntryProxy(
            EventLoopThread loop,
            NodeId self,
            Incarnation incarnation,
            EntrySettings settings,
            ServiceRuntimes runtimes,
            EntryDependencies dependencies) {
        this.loop = loop;
        this.runtimes = runtimes;
        this.explainer = new RequestExplainer(runtimes, dependencies.clock());
        this.dispatcher =
                new EntryDispatcher(
                        self,
                        incarnation,
                        settings.limits(),
                        new ConfiguredMatcher(runtimes::matcher),
                        matched -> runtimes.getOrCreate(matched.service()),
                        dependencies);
        this.server =
                new CallerServer(
                        loop.eventLoop(),
                        settings.address(),
                        settings.callerLimits(),
                        settings.stopTimeout(),
                        dispatcher,
                        dependencies.clock());
        this.mailbox =
                new BoundedMailbox<>(
                        MAILBOX_CAPACITY_FRAMES, loop::execute, dispatcher::onFrame, () -> {});
    }

    /**
     * Settings of an entry proxy. Immutable and thread-safe.
     *
     * @param limits request limits
     * @param address listen address for callers
     * @param callerLimits limits of the caller port
     * @param stopTimeout longest time that a graceful shutdown waits for open requests
     */
    public record EntrySettings(
            EntryLimits limits,
            InetSocketAddress address,
            CallerLimits callerLimits,
            Duration stopTimeout) {}

    /** Opens the caller port. */
    public CompletableFuture<Void> start() {
        return server.start();
    }

    /** Keeps serving, but asks callers in every response to close their connection. Any thread. */
    public void startConnectionDraining() {
        server.startConnectionDraining();
    }

    /** Stops accepting connections and finishes the open requests. */
    public CompletableFuture<Void> stop() {
        return server.stop();
    }

    /** Number of requests that have no response yet. Any thread. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Queues a frame about a call that this node sent; returns false if the mailbox is full. */
    public boolean offer(MeshFrame frame) {
        boolean offered = mailbox.offer(frame);
        if (!offered) {
            logger.atWarning().atMostEvery(1, java.util.concurrent.TimeUnit.SECONDS).log(
                    "event=frame-dropped step=enqueue peer=entry reason=ring-full");
        }
        return offered;
    }

    /** Records the load that a target reported in reply to a probe. */
    public void onLoadReport(MeshLink link, MeshFrame frame, LongSupplier clock) {
        loop.execute(
                () ->
                        runtimes.onLoadReport(
                                new TargetId(link.peer(), link.incarnation()),
                                frame.getLoadProbeAnswer().getLoad(),
                                clock.getAsLong()));
    }

    /** Handles a frame that was certainly not sent. */
    public void onUnsent(MeshFrame frame, RefusalReason reason) {
        loop.execute(() -> dispatcher.onUnsent(frame, reason));
    }

    /**
     * Handles a lost connection to a peer; frames sent before the given time may or may not have
     * arrived.
     */
    public void onLinkLost(NodeId peer, long lastUsedNanoseconds) {
        loop.execute(() -> dispatcher.onConnectionLost(peer, lastUsedNanoseconds));
    }

    /** Updates the routers after a membership change. */
    public void onMembersChanged() {
        loop.execute(runtimes::onMembersChanged);
    }

    /** Applies a changed configuration. */
    public void onConfigurationChanged(ServiceMatcher changed) {
        loop.execute(() -> runtimes.onConfigurationChanged(changed));
    }

    /** Explains where a request would be routed now; empty if no such service is in force. */
    public CompletableFuture<Optional<RequestExplanation>> explain(RequestDescription request) {
        return CompletableFuture.supplyAsync(() -> explainer.explain(request), loop::execute);
    }
}
