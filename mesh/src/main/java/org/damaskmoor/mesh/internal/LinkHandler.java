package org.damaskmoor.mesh.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshException;
import org.damaskmoor.mesh.MeshException.Step;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.MeshListener;
import org.damaskmoor.schema.mesh.Hello;
import org.damaskmoor.schema.mesh.LoadProbe;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Last handler in a connection's pipeline: exchanges Hello frames, passes other frames to the
 * listener, and closes a silent connection.
 *
 * <p>An outbound connection sends a probe when nothing was received for half of the silence
 * timeout, and closes when nothing was received for all of it. Confined to the mesh event loop,
 * except {@link #send}.
 */
final class LinkHandler extends SimpleChannelInboundHandler<MeshFrame> implements MeshLink {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int IDLE_CLOSE_MILLISECONDS = 60_000;
    private static final MeshFrame PROBE =
            MeshFrame.newBuilder().setLoadProbe(LoadProbe.getDefaultInstance()).build();

    private final MeshFrame hello;
    private final NodeId expectedPeer;
    private final MeshListener listener;
    private final long silenceMilliseconds;
    private final BiConsumer<Channel, Throwable> onClosed;
    private volatile Channel channel;
    private volatile NodeId peer;
    private volatile Incarnation incarnation;
    private long lastReceivedNanoseconds;
    private long lastUsedNanoseconds;
    private boolean probeSent;
    private Throwable failure;

    private LinkHandler(
            MeshFrame hello,
            NodeId expectedPeer,
            MeshListener listener,
            long silenceMilliseconds,
            BiConsumer<Channel, Throwable> onClosed) {
        this.hello = hello;
        this.expectedPeer = expectedPeer;
        this.listener = listener;
        this.silenceMilliseconds = silenceMilliseconds;
        this.onClosed = onClosed;
    }

    static LinkHandler inbound(MeshFrame hello, MeshListener listener) {
        return new LinkHandler(hello, null, listener, 0, (closed, cause) -> {});
    }

    static LinkHandler outbound(
            MeshFrame hello,
            NodeId expectedPeer,
            MeshListener listener,
            long silenceMilliseconds,
            BiConsumer<Channel, Throwable> onClosed) {
        return new LinkHandler(hello, expectedPeer, listener, silenceMilliseconds, onClosed);
    }

    /** Returns the handler of a connection between two nodes. */
    static LinkHandler of(Channel channel) {
        return channel.pipeline().get(LinkHandler.class);
    }

    /**
     * Returns when the last frame was received or, before that, the connection was opened. Event
     * loop only.
     */
    long lastReceivedNanoseconds() {
        return lastReceivedNanoseconds;
    }

    @Override
    public NodeId peer() {
        return peer;
    }

    @Override
    public Incarnation incarnation() {
        return incarnation;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Closes the connection if the peer reads too slowly: if the frame were dropped silently,
     * the peer would wait for it; after a close it asks again over another connection.
     */
    @Override
    public boolean send(MeshFrame frame) {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            return false;
        }
        if (!open.isWritable()) {
            logger.atWarning().log("event=link-overrun step=WRITE peer=%s", peer);
            open.close();
            return false;
        }
        open.writeAndFlush(frame);
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReceivedNanoseconds = System.nanoTime();
        lastUsedNanoseconds = lastReceivedNanoseconds;
        context.writeAndFlush(hello);
        if (silenceMilliseconds > 0) {
            scheduleSilenceCheck(context);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
        lastReceivedNanoseconds = System.nanoTime();
        probeSent = false;
        if (frame.hasHello()) {
            onHello(context, frame.getHello());
        } else if (peer == null) {
            fail(context, new IllegalStateException("a frame was received before Hello"));
        } else {
            recordUse(frame);
            listener.onFrame(this, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onClosed.accept(context.channel(), failure);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, cause);
    }

    private void onHello(ChannelHandlerContext context, Hello received) {
        NodeId actualPeer = new NodeId(received.getNodeId());
        if (expectedPeer != null && !expectedPeer.equals(actualPeer)) {
            fail(
                    context,
                    new MeshException(
                            Step.CONNECT,
                            expectedPeer,
                            "another node answered at this address: " + actualPeer,
                            null));
            return;
        }
        incarnation = new Incarnation(received.getIncarnation());
        peer = actualPeer;
    }

    private void recordUse(MeshFrame frame) {
        if (!frame.hasLoadProbeAnswer()) {
            lastUsedNanoseconds = lastReceivedNanoseconds;
        }
    }

    private void scheduleSilenceCheck(ChannelHandlerContext context) {
        context.executor()
                .schedule(
                        () -> checkSilence(context),
                        Math.max(1, silenceMilliseconds / 4),
                        TimeUnit.MILLISECONDS);
    }

    private void checkSilence(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            return;
        }
        long now = System.nanoTime();
        long silentMilliseconds = TimeUnit.NANOSECONDS.toMillis(now - lastReceivedNanoseconds);
        if (TimeUnit.NANOSECONDS.toMillis(now - lastUsedNanoseconds) > IDLE_CLOSE_MILLISECONDS) {
            context.close();
        } else if (probeSent && silentMilliseconds >= silenceMilliseconds) {
            fail(context, new TimeoutException("silent_milliseconds=" + silentMilliseconds));
        } else {
            probeWhenSilent(context, silentMilliseconds);
        }
    }

    private void probeWhenSilent(ChannelHandlerContext context, long silentMilliseconds) {
        if (!probeSent && silentMilliseconds >= silenceMilliseconds / 2) {
            probeSent = true;
            context.writeAndFlush(PROBE);
        }
        scheduleSilenceCheck(context);
    }

    private void fail(ChannelHandlerContext context, Throwable cause) {
        logger.atWarning().log("event=link-failed step=READ peer=%s cause=%s", peer, cause);
        failure = cause;
        context.close();
    }
}
