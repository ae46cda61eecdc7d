package org.damaskmoor.bench.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Emulates network links for a datagram channel: delays each packet by the delay of the link to its
 * recipient.
 *
 * <p>Invariant: a cut link drops packets silently. Not thread safe: confined to the channel's event
 * loop.
 */
public final class DatagramLinkHandler extends ChannelOutboundHandlerAdapter {
    private final Function<InetSocketAddress, Optional<LinkPair>> links;
    private final LongSupplier nanoseconds;
    private final Map<Link, DelayLine> lines = new HashMap<>();

    public DatagramLinkHandler(
            Function<InetSocketAddress, Optional<LinkPair>> links, LongSupplier nanoseconds) {
        this.links = links;
        this.nanoseconds = nanoseconds;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        Optional<Link> link = recipient(message).flatMap(links).map(LinkPair::outgoing);
        if (link.isEmpty()) {
            super.write(context, message, promise);
        } else {
            send(context, (DatagramPacket) message, promise, link.get());
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The promise reports the outcome.
    private void send(
            ChannelHandlerContext context,
            DatagramPacket packet,
            ChannelPromise promise,
            Link link) {
        if (link.profile().cut()) {
            packet.release();
            promise.trySuccess();
            return;
        }
        DelayLine line =
                lines.computeIfAbsent(
                        link, any -> new DelayLine(link, context.executor(), nanoseconds));
        line.add(packet.content().readableBytes(), () -> context.writeAndFlush(packet, promise));
    }

    private static Optional<InetSocketAddress> recipient(Object message) {
        return message instanceof DatagramPacket packet
                ? Optional.of(packet.recipient())
                : Optional.empty();
    }
}
