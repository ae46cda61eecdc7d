package org.damaskmoor.mesh;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.internal.LinkInitializer;
import org.damaskmoor.mesh.internal.PeerLinks;
import org.damaskmoor.mesh.ring.BoundedMailbox;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * {@link MeshTransport} over Netty with one event loop thread.
 *
 * <p>Thread safety: public methods may be called from any thread; connections are accessed on the
 * event loop only. Invariant: at most one current connection per peer.
 */
public final class NettyMeshTransport implements MeshTransport {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long STOP_QUIET_MILLISECONDS = 0;
    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    private record OutgoingFrame(MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds) {}

    private final MeshSettings settings;
    private final MeshListener listener;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final LinkInitializer initializer;
    private final BoundedMailbox<OutgoingFrame> outgoingFrames;
    private final Map<NodeId, PeerLinks> links = new HashMap<>();
    private Channel server;

    /**
     * Creates a transport that neither listens nor connects yet.
     *
     * @param settings identity, address and limits of this node
     * @param listener receives frames and failures, on the event loop
     * @param customizer changes each channel before it is used
     */
    public NettyMeshTransport(
            MeshSettings settings, MeshListener listener, ChannelCustomizer customizer) {
        this.settings = settings;
        this.listener = listener;
        this.group = new NioEventLoopGroup(1, new DefaultThreadFactory("mesh", true));
        this.loop = group.next();
        this.initializer = new LinkInitializer(settings, listener, customizer);
        this.outgoingFrames =
                new BoundedMailbox<>(
                        settings.maximumQueuedFrames(), loop, this::dispatch, this::flushAll);
    }

    /** Returns the event loop, for components that share the mesh's thread. */
    public NioEventLoopGroup group() {
        return group;
    }

    /**
     * Opens the listening port.
     *
     * @return completes when the port is open, or fails with the cause, for example a port in use
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                LinkInitializer.WRITE_BUFFER_BYTES)
                        .childHandler(initializer.forInbound())
                        .bind(settings.listenAddress());
        bound.addListener(
                done -> {
                    server = bound.channel();
                    if (done.isSuccess()) {
                        started.complete(null);
                    } else {
                        started.completeExceptionally(done.cause());
                    }
                });
        return started;
    }

    /** Closes every connection and ends the event loop. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (server == null) {
            endLoop(stopped);
        } else {
            server.close().addListener(done -> endLoop(stopped));
        }
        return stopped;
    }

    private void endLoop(CompletableFuture<Void> stopped) {
        group.shutdownGracefully(
                        STOP_QUIET_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .addListener(done -> stopped.complete(null));
    }

    @Override
    public void send(MeshPeer peer, MeshFrame frame) {
        queueFrame(new OutgoingFrame(peer, frame, PeerLinks.ANY_CONNECTION));
    }

    @Override
    public void sendOverLiveConnection(MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds) {
        queueFrame(new OutgoingFrame(peer, frame, aliveAfterNanoseconds));
    }

    private void queueFrame(OutgoingFrame message) {
        if (!outgoingFrames.offer(message)) {
            NodeId peer = message.peer().nodeId();
            listener.onUnsent(
                    peer,
                    message.frame(),
                    new MeshException(
                            MeshException.Step.ENQUEUE,
                            peer,
                            "the queue of outgoing frames is full",
                            null));
        }
    }

    private void dispatch(OutgoingFrame message) {
        PeerLinks peerLinks =
                links.computeIfAbsent(
                        message.peer().nodeId(),
                        nodeId -> new PeerLinks(nodeId, settings, listener, initializer, loop));
        peerLinks.send(message.peer().address(), message.frame(), message.aliveAfterNanoseconds());
    }

    private void flushAll() {
        links.values().forEach(PeerLinks::flush);
        links.values().removeIf(PeerLinks::isIdle);
    }
}
