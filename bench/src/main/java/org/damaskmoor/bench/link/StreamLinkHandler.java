package org.damaskmoor.bench.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Emulates the link of a TCP connection opened by this process, in both directions.
 *
 * <p>Only the opening side can identify the link, because the accepting side sees an ephemeral
 * port. The opening side therefore delays both directions and the accepting side delays nothing.
 *
 * <p>Invariants: bytes keep their order; a close takes effect after the writes before it; a cut
 * holds bytes back, like TCP retransmission; a silenced connection drops bytes without an error.
 * Not thread safe: confined to the channel's event loop.
 */
public final class StreamLinkHandler extends ChannelDuplexHandler {
    private final LinkPair links;
    private final LongSupplier nanoseconds;
    private final int silencesAtOpen;
    private DelayLine outgoing;
    private DelayLine incoming;

    public StreamLinkHandler(LinkPair links, LongSupplier nanoseconds) {
        this.links = links;
        this.nanoseconds = nanoseconds;
        this.silencesAtOpen = links.outgoing().profile().silences();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        outgoing = new DelayLine(links.outgoing(), context.executor(), nanoseconds);
        incoming = new DelayLine(links.incoming(), context.executor(), nanoseconds);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome.
    public void connect(
            ChannelHandlerContext context,
            SocketAddress remote,
            SocketAddress local,
            ChannelPromise promise) {
        if (!links.outgoing().profile().cut()) {
            outgoing.add(0, () -> incoming.add(0, () -> context.connect(remote, local, promise)));
            return;
        }
        int timeout = context.channel().config().getConnectTimeoutMillis();
        Runnable fail =
                () -> promise.tryFailure(new ConnectTimeoutException("link is cut: " + remote));
        context.executor().schedule(fail, timeout, TimeUnit.MILLISECONDS);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome.
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (isSilenced()) {
            ReferenceCountUtil.release(message);
            promise.trySuccess();
            return;
        }
        outgoing.add(bytes(message), () -> context.writeAndFlush(message, promise));
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome.
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (outgoing.isEmpty()) {
            context.close(promise);
        } else {
            outgoing.add(0, () -> context.close(promise));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isSilenced()) {
            ReferenceCountUtil.release(message);
            return;
        }
        incoming.add(bytes(message), () -> deliver(context, message));
    }

    private static void deliver(ChannelHandlerContext context, Object message) {
        context.fireChannelRead(message);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        incoming.drain();
        outgoing.drain();
        super.channelInactive(context);
    }

    private boolean isSilenced() {
        return links.outgoing().profile().silences() > silencesAtOpen;
    }

    private static int bytes(Object message) {
        return message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
    }
}
