package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.relay.internal.net.ForwardedHeaders;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * One connection of a caller.
 *
 * <p>Confined to the event loop. Invariants: one request is served at a time, in the order of
 * arrival, so that a reply reaches only its own request; what can't be read is refused and the
 * connection closed, so that its rest is not taken for a request; a caller that leaves is noticed
 * while its request is served.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int BAD_REQUEST = 400;
    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int EXPECTATION = 100;

    private final CallerServer server;
    private final ArrayDeque<HttpObject> behind = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteString.Output body;
    private long headAt;
    private long quietSince;
    private boolean serving;
    private boolean headRequest;
    private boolean keepAlive = true;
    private boolean closing;
    private Runnable onGone = () -> {};

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        quietSince = server.now();
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
        } else if (serving) {
            behind.addLast(object);
            active.channel().config().setAutoRead(false);
        } else {
            read(object);
        }
    }

    private void read(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                refuse(statusOf(object.decoderResult().cause()));
                return;
            }
            if (object instanceof HttpRequest request) {
                begin(request);
            }
            if (object instanceof HttpContent content && head != null) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private static int statusOf(Throwable cause) {
        return cause instanceof TooLongFrameException ? HEADERS_TOO_LARGE : BAD_REQUEST;
    }

    private void begin(HttpRequest request) {
        head = request;
        headAt = server.now();
        body = ByteString.newOutput();
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.getContentLength(request, 0L) > server.limits().bodyBytes()) {
            refuse(TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(EXPECTATION)));
        }
    }

    private void append(HttpContent content) {
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().getBytes(content.content().readerIndex(), bytes);
        if (body.size() + (long) bytes.length > server.limits().bodyBytes()) {
            refuse(TOO_LARGE);
            return;
        }
        body.write(bytes, 0, bytes.length);
        if (content instanceof LastHttpContent) {
            serve();
        }
    }

    private void serve() {
        HttpRequest request = head;
        head = null;
        serving = true;
        headRequest = request.method().name().equals("HEAD");
        String id = request.headers().get(HeaderNames.REQUEST_ID, "");
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        if (id.isEmpty() || host.isEmpty()) {
            reply(CallerReply.ofText(BAD_REQUEST, "The request must have a host and an id."), id);
            return;
        }
        CallerRequest whole =
                new CallerRequest(
                        id,
                        request.method().name(),
                        host,
                        request.uri(),
                        ForwardedHeaders.ofRequest(request.headers()),
                        body.toByteString(),
                        patience(request),
                        headAt);
        body = null;
        onGone = server.handler().handle(whole, reply -> reply(reply, id));
    }

    private static long patience(HttpRequest request) {
        String text = request.headers().get(HeaderNames.REMAINING_MILLISECONDS);
        if (text == null) {
            return 0;
        }
        try {
            return Math.max(1, Long.parseLong(text.trim()));
        } catch (NumberFormatException unreadable) {
            return 0;
        }
    }

    private void reply(CallerReply reply, String id) {
        onGone = () -> {};
        if (!context.channel().isActive()) {
            return;
        }
        boolean close = !keepAlive || server.isClosing();
        FullHttpResponse response = response(reply);
        response.headers().set(HeaderNames.REQUEST_ID, id);
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        closing = close;
        serving = false;
        quietSince = server.now();
        var written = context.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (!behind.isEmpty()) {
            server.execute(this::readBehind);
        }
    }

    private FullHttpResponse response(CallerReply reply) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        headRequest
                                ? Unpooled.EMPTY_BUFFER
                                : Unpooled.wrappedBuffer(reply.body().asReadOnlyByteBuffer()));
        for (HeaderField field : reply.headers()) {
            response.headers().add(field.getName(), field.getValue());
        }
        if (reply.status() != NO_CONTENT && reply.status() != NOT_MODIFIED) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().size());
        }
        return response;
    }

    private void readBehind() {
        while (!behind.isEmpty() && !serving && !closing) {
            read(behind.pollFirst());
        }
        if (behind.isEmpty() && !closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Refuses what can't be read, and closes. */
    private void refuse(int status) {
        head = null;
        closing = true;
        server.countMalformed(status);
        FullHttpResponse response =
                response(CallerReply.ofText(status, "The request was not read."));
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Ends what takes too long to arrive, and connections that are idle for too long. */
    void checkTimeouts(long now, CallerLimits limits) {
        if (serving || closing) {
            return;
        }
        if (head != null) {
            if (now - headAt
                    > limits.headerTimeoutMilliseconds() + limits.idleTimeoutMilliseconds()) {
                refuse(TIMEOUT);
            }
        } else if (now - quietSince > limits.idleTimeoutMilliseconds()) {
            context.close();
        }
    }

    /** Whether a request is being read or served. */
    boolean isBusy() {
        return serving || head != null;
    }

    void close() {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        behind.forEach(ReferenceCountUtil::release);
        behind.clear();
        onGone.run();
        onGone = () -> {};
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }
}
