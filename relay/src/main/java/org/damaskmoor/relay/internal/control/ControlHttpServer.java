package org.damaskmoor.relay.internal.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.relay.internal.net.PortBinder;

/**
 * A port for short questions: readiness, announcements, metrics. Confined to the event loop.
 *
 * <p>Invariant: each request gets one answer; longer bodies than a few kilobytes are refused.
 */
public final class ControlHttpServer {
    private static final int MOST_BODY_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Answerer answerer;
    private Channel listening;

    /** Answers a request. */
    @FunctionalInterface
    public interface Answerer {
        Answer answer(String method, String path, String body);
    }

    /**
     * An answer. Immutable and thread-safe.
     *
     * @param status HTTP status
     * @param contentType type of the body
     */
    public record Answer(int status, String contentType, String body) {
        private static final int NOT_FOUND = 404;

        /** Plain text. */
        public static Answer text(int status, String body) {
            return new Answer(status, "text/plain", body);
        }

        /** JSON. */
        public static Answer json(int status, String body) {
            return new Answer(status, "application/json", body);
        }

        /** Nothing is here. */
        public static Answer nothingHere() {
            return text(NOT_FOUND, "There is nothing here.\n");
        }
    }

    public ControlHttpServer(EventLoop loop, InetSocketAddress address, Answerer answerer) {
        this.loop = loop;
        this.address = address;
        this.answerer = answerer;
    }

    /** Opens the port. */
    public CompletableFuture<Void> start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_BODY_BYTES),
                                                        new Handler());
                                    }
                                });
        return PortBinder.bind(bootstrap, address, channel -> listening = channel);
    }

    /** Closes the port. */
    public void stop() {
        if (listening != null) {
            listening.close();
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Answer answer =
                    answerer.answer(
                            request.method().name(),
                            request.uri(),
                            request.content().toString(StandardCharsets.UTF_8));
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            var written = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
