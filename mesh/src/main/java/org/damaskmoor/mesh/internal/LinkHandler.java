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
 * The last handler of a connection: exchanges the first frames, passes the others on, and gives a
 * connection up that went silent.
 *
 * <p>An opened connection sends a probe when nothing was heard for half of the silence timeout and
 * closes when nothing was heard for the whole. Confined to the mesh event loop, but for {@link
 * #send}.
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
    private final BiConsumer<Channel, Throwable> onGone;
    private volatile Channel channel;
    private volatile NodeId peer;
    private volatile Incarnation incarnation;
    private long lastHeardNanoseconds;
    private long lastCallNanoseconds;
    private boolean probed;
    private Throwable failure;

    private LinkHandler(
            MeshFrame hello,
            NodeId expectedPeer,
            MeshListener listener,
            long silenceMilliseconds,
            BiConsumer<Channel, Throwable> onGone) {
        this.hello = hello;
        this.expectedPeer = expectedPeer;
        this.listener = listener;
        this.silenceMilliseconds = silenceMilliseconds;
        this.onGone = onGone;
    }

    static LinkHandler inbound(MeshFrame hello, MeshListener listener) {
        return new LinkHandler(hello, null, listener, 0, (closed, cause) -> {});
    }

    static LinkHandler outbound(
            MeshFrame hello,
            NodeId expectedPeer,
            MeshListener listener,
            long silenceMilliseconds,
            BiConsumer<Channel, Throwable> onGone) {
        return new LinkHandler(hello, expectedPeer, listener, silenceMilliseconds, onGone);
    }

    /** The handler of a connection between two nodes. */
    static LinkHandler of(Channel channel) {
        return channel.pipeline().get(LinkHandler.class);
    }

    /** When something was heard last, or the connection was opened. Event loop only. */
    long lastReceivedNanoseconds() {
        return lastHeardNanoseconds;
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
     * <p>A connection whose peer reads too slowly is closed rather than that an answer on it is
     * dropped in silence: the peer then asks again over another one.
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
        lastHeardNanoseconds = System.nanoTime();
        lastCallNanoseconds = lastHeardNanoseconds;
        context.writeAndFlush(hello);
        if (silenceMilliseconds > 0) {
            scheduleSilenceCheck(context);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
        lastHeardNanoseconds = System.nanoTime();
        probed = false;
        if (frame.hasHello()) {
            onHello(context, frame.getHello());
        } else if (peer == null) {
            fail(context, new IllegalStateException("a frame came before the first one, hello"));
        } else {
            noteUse(frame);
            listener.onFrame(this, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onGone.accept(context.channel(), failure);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, cause);
    }

    private void onHello(ChannelHandlerContext context, Hello received) {
        NodeId named = new NodeId(received.getNodeId());
        if (expectedPeer != null && !expectedPeer.equals(named)) {
            fail(
                    context,
                    new MeshException(
                            Step.CONNECT,
                            expectedPeer,
                            "another node answered at its address: " + named,
                            null));
            return;
        }
        incarnation = new Incarnation(received.getIncarnation());
        peer = named;
    }

    private void noteUse(MeshFrame frame) {
        if (!frame.hasLoadProbeAnswer()) {
            lastCallNanoseconds = lastHeardNanoseconds;
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
        long silentMilliseconds = TimeUnit.NANOSECONDS.toMillis(now - lastHeardNanoseconds);
        if (TimeUnit.NANOSECONDS.toMillis(now - lastCallNanoseconds) > IDLE_CLOSE_MILLISECONDS) {
            context.close();
        } else if (probed && silentMilliseconds >= silenceMilliseconds) {
            fail(context, new TimeoutException("silent_milliseconds=" + silentMilliseconds));
        } else {
            probeWhenSilent(context, silentMilliseconds);
        }
    }

    private void probeWhenSilent(ChannelHandlerContext context, long silentMilliseconds) {
        if (!probed && silentMilliseconds >= silenceMilliseconds / 2) {
            probed = true;
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
