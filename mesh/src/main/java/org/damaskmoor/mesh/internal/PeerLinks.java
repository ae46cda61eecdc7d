package org.damaskmoor.mesh.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshException;
import org.damaskmoor.mesh.MeshException.Step;
import org.damaskmoor.mesh.MeshListener;
import org.damaskmoor.mesh.MeshSettings;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * The outbound connections to one peer and the frames that wait for the current one.
 *
 * <p>Confined to the mesh event loop. Invariant: frames wait only while a connection is being
 * opened.
 */
public final class PeerLinks {
    /** Accepts any connection, however long nothing was received on it. */
    public static final long ANY_CONNECTION = Long.MIN_VALUE;

    private final NodeId peer;
    private final MeshSettings settings;
    private final MeshListener listener;
    private final LinkInitializer initializer;
    private final EventLoop loop;
    private final Queue<MeshFrame> waiting = new ArrayDeque<>();
    private final Map<Channel, Long> replacedAt = new HashMap<>();
    private Channel current;
    private ChannelFuture opening;
    private boolean unflushed;

    public PeerLinks(
            NodeId peer,
            MeshSettings settings,
            MeshListener listener,
            LinkInitializer initializer,
            EventLoop loop) {
        this.peer = peer;
        this.settings = settings;
        this.listener = listener;
        this.initializer = initializer;
        this.loop = loop;
    }

    /** Writes the frame, or queues it until the connection being opened is ready. */
    public void send(InetSocketAddress address, MeshFrame frame, long aliveAfterNanoseconds) {
        if (opening == null && isUsable(aliveAfterNanoseconds)) {
            writeToCurrent(frame);
            return;
        }
        if (waiting.size() >= settings.maximumQueuedFrames()) {
            unsent(frame, Step.ENQUEUE, "too many frames wait for the connection", null);
            return;
        }
        waiting.add(frame);
        if (opening == null) {
            open(address);
        }
    }

    /** Flushes the frames written since the last call. */
    public void flush() {
        if (unflushed && current != null) {
            current.flush();
        }
        unflushed = false;
    }

    /**
     * Returns whether no connection is open and no frame waits, so that this object can be dropped.
     */
    public boolean isIdle() {
        return opening == null && waiting.isEmpty() && (current == null || !current.isOpen());
    }

    private boolean isUsable(long aliveAfterNanoseconds) {
        if (current == null || !current.isActive()) {
            return false;
        }
        return aliveAfterNanoseconds == ANY_CONNECTION
                || LinkHandler.of(current).lastReceivedNanoseconds() - aliveAfterNanoseconds > 0;
    }

    private void open(InetSocketAddress address) {
        opening =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                LinkInitializer.WRITE_BUFFER_BYTES)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) settings.connectTimeout().toMillis())
                        .handler(initializer.forOutbound(peer, address, this::onClosed))
                        .connect(address);
        opening.addListener(done -> loop.execute(() -> onOpened((ChannelFuture) done)));
    }

    /** Runs after the channel became active, so that its first frame has been written. */
    private void onOpened(ChannelFuture future) {
        opening = null;
        if (!future.isSuccess()) {
            failWaiting(future.cause());
            return;
        }
        replaceCurrent(future.channel());
        for (MeshFrame frame = waiting.poll(); frame != null; frame = waiting.poll()) {
            writeToCurrent(frame);
        }
        flush();
    }

    private void replaceCurrent(Channel opened) {
        long now = System.nanoTime();
        if (current != null && current.isActive()) {
            current.flush();
            replacedAt.put(current, now);
        }
        current = opened;
    }

    private void failWaiting(Throwable cause) {
        for (MeshFrame frame = waiting.poll(); frame != null; frame = waiting.poll()) {
            unsent(frame, Step.CONNECT, "the connection could not be opened", cause);
        }
    }

    private void writeToCurrent(MeshFrame frame) {
        if (!current.isWritable()) {
            unsent(frame, Step.ENQUEUE, "the peer reads too slowly", null);
            return;
        }
        unflushed = true;
        current.write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void onClosed(Channel channel, Throwable cause) {
        if (channel == current) {
            current = null;
        }
        Long replaced = replacedAt.remove(channel);
        long lastUsed = replaced == null ? System.nanoTime() : replaced;
        MeshException failure =
                new MeshException(
                        Step.READ, peer, "the connection was closed, cause=" + cause, cause);
        listener.onLinkLost(peer, lastUsed, failure);
    }

    private void unsent(MeshFrame frame, Step step, String message, Throwable cause) {
        listener.onUnsent(peer, frame, new MeshException(step, peer, message, cause));
    }
}
