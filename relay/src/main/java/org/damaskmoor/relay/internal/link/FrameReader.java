package org.damaskmoor.relay.internal.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.BiConsumer;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.schema.link.LinkFrame;

/** Passes on the frames of one connection with their source. Confined to the event loop. */
final class FrameReader extends SimpleChannelInboundHandler<LinkFrame> {
    private final BiConsumer<Channel, LinkFrame> consumer;
    private final ConnectionFailureLog failureLog;

    FrameReader(BiConsumer<Channel, LinkFrame> consumer, ConnectionFailureLog failureLog) {
        this.consumer = consumer;
        this.failureLog = failureLog;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkFrame frame) {
        consumer.accept(context.channel(), frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failureLog.close(context, cause);
    }
}
