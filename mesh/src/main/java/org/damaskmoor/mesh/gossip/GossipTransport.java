package org.damaskmoor.mesh.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.schema.gossip.GossipMessage;

/**
 * Sends and receives gossip messages over UDP.
 *
 * <pre>{@code
 * GossipTransport transport =
 *         new GossipTransport(listenAddress, listener, ChannelCustomizer.NONE);
 * transport.start().join();
 * transport.send(peer, message);
 * }</pre>
 *
 * <p>Invariants: malformed datagrams are counted and ignored; sending never blocks, and messages
 * that the socket does not accept are counted and dropped. Thread-safe.
 */
public final class GossipTransport implements DatagramSender {
    private static final int MAXIMUM_DATAGRAM_BYTES = 2_048;

    private final InetSocketAddress listenAddress;
    private final GossipListener listener;
    private final ChannelCustomizer customizer;
    private final GossipTraffic traffic = new GossipTraffic();
    private final EventLoopGroup eventLoop =
            new NioEventLoopGroup(1, new DefaultThreadFactory("gossip", true));
    private volatile Channel channel;

    /** Creates a transport that is not started yet. */
    public GossipTransport(
            InetSocketAddress listenAddress,
            GossipListener listener,
            ChannelCustomizer customizer) {
        this.listenAddress = listenAddress;
        this.listener = listener;
        this.customizer = customizer;
    }

    /** Opens the socket; completes with its address, or fails with a {@link GossipException}. */
    public CompletableFuture<InetSocketAddress> start() {
        CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();
        ChannelFuture bound = bootstrap().bind(listenAddress);
        bound.addListener(done -> onBound(bound, started));
        return started;
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel created) {
                                customizer.customize(created, null);
                                created.pipeline()
                                        .addLast(new GossipInboundHandler(listener, traffic));
                            }
                        });
    }

    private void onBound(ChannelFuture bound, CompletableFuture<InetSocketAddress> started) {
        if (bound.isSuccess()) {
            channel = bound.channel();
            started.complete((InetSocketAddress) channel.localAddress());
        } else {
            started.completeExceptionally(
                    new GossipException("bind-gossip", listenAddress, bound.cause()));
        }
    }

    @Override
    public void send(InetSocketAddress to, GossipMessage message) {
        Channel open = channel;
        if (open == null || !open.isWritable()) {
            traffic.onUnsent();
            return;
        }
        byte[] bytes = message.toByteArray();
        ByteBuf content = Unpooled.wrappedBuffer(bytes);
        open.writeAndFlush(new DatagramPacket(content, to))
                .addListener(done -> onWritten(done, message, bytes.length));
    }

    private void onWritten(Future<?> done, GossipMessage message, int bytes) {
        if (done.isSuccess()) {
            traffic.onSent(message, bytes);
        } else {
            traffic.onUnsent();
        }
    }

    /** Returns the counters of sent and received messages since the start. */
    public GossipTraffic traffic() {
        return traffic;
    }

    /** Closes the socket; completes when no more messages will be received. */
    public CompletableFuture<Void> close() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        eventLoop
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .addListener(done -> closed.complete(null));
        return closed;
    }
}
