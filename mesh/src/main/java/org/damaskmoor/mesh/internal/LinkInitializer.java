package org.damaskmoor.mesh.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.mesh.MeshListener;
import org.damaskmoor.mesh.MeshSettings;
import org.damaskmoor.schema.mesh.Hello;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Sets up the pipeline of a connection between two nodes: TLS, frame length, protobuf, {@link
 * LinkHandler}.
 *
 * <p>Immutable and thread-safe.
 */
public final class LinkInitializer {
    /**
     * Low and high water mark of a connection's unsent bytes; above the high one it accepts no more
     * frames.
     */
    public static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
            new WriteBufferWaterMark(1024 * 1024, 4 * 1024 * 1024);

    private static final int LENGTH_FIELD_BYTES = 4;

    private final MeshSettings settings;
    private final MeshListener listener;
    private final ChannelCustomizer customizer;

    public LinkInitializer(
            MeshSettings settings, MeshListener listener, ChannelCustomizer customizer) {
        this.settings = settings;
        this.listener = listener;
        this.customizer = customizer;
    }

    /** Returns an initializer for connections that other nodes open to this one. */
    public ChannelInitializer<Channel> forInbound() {
        return initializer(
                channel -> {
                    InetSocketAddress remote = (InetSocketAddress) channel.remoteAddress();
                    customizer.customize(channel, remote);
                    settings.tls().ifPresent(tls -> addTls(channel, tls.server()));
                    addCodec(channel, LinkHandler.inbound(hello(), listener));
                });
    }

    /**
     * Returns an initializer for a connection that this node opens to the peer; {@code onClosed}
     * runs when it is closed.
     */
    public ChannelInitializer<Channel> forOutbound(
            NodeId peer, InetSocketAddress remote, BiConsumer<Channel, Throwable> onClosed) {
        return initializer(
                channel -> {
                    customizer.customize(channel, remote);
                    settings.tls().ifPresent(tls -> addTls(channel, tls.client()));
                    long silenceMilliseconds = settings.silenceTimeout().toMillis();
                    addCodec(
                            channel,
                            LinkHandler.outbound(
                                    hello(), peer, listener, silenceMilliseconds, onClosed));
                });
    }

    private static ChannelInitializer<Channel> initializer(
            java.util.function.Consumer<Channel> setUp) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                setUp.accept(channel);
            }
        };
    }

    private static void addTls(Channel channel, SslContext context) {
        channel.pipeline().addLast(context.newHandler(channel.alloc()));
    }

    private void addCodec(Channel channel, LinkHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        settings.maximumFrameBytes(),
                        0,
                        LENGTH_FIELD_BYTES,
                        0,
                        LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(MeshFrame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(handler);
    }

    private MeshFrame hello() {
        return MeshFrame.newBuilder()
                .setHello(
                        Hello.newBuilder()
                                .setNodeId(settings.nodeId().value())
                                .setIncarnation(settings.incarnation().value()))
                .build();
    }
}
