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
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.net.PortBinder;

/**
 * An HTTP server for short requests: readiness, announcements, metrics. Confined to the event loop.
 *
 * <p>Invariant: each request gets one answer; a body of more than {@link #MAX_BODY_BYTES} is
 * refused.
 */
public final class ControlHttpServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final RequestHandler handler;
    private final ConnectionFailureLog failureLog;
    private Channel serverChannel;

    /** Handles a request. */
    @FunctionalInterface
    public interface RequestHandler {
        Answer handle(String method, String path, String body);
    }

    /**
     * An answer to a request. Immutable and thread-safe.
     *
     * @param status HTTP status
     * @param contentType type of the body
     */
    public record Answer(int status, String contentType, String body) {
        private static final int NOT_FOUND = 404;

        /** An answer with plain text. */
        public static Answer text(int status, String body) {
            return new Answer(status, "text/plain", body);
        }

        /** An answer with JSON. */
        public static Answer json(int status, String body) {
            return new Answer(status, "application/json", body);
        }

        /** The answer for an unknown path. */
        public static Answer notFound() {
            return text(NOT_FOUND, "There is nothing here.\n");
        }
    }

    public ControlHttpServer(
            EventLoop loop,
            InetSocketAddress address,
            RequestHandler handler,
            ConnectionFailureLog failureLog) {
        this.loop = loop;
        this.address = address;
        this.handler = handler;
        this.failureLog = failureLog;
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
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new ServerHandler());
                                    }
                                });
        return PortBinder.bind(bootstrap, address, channel -> serverChannel = channel);
    }

    /** Closes the port. */
    public void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Answer answer =
                    handler.handle(
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
            failureLog.close(context, cause);
        }
    }
}
