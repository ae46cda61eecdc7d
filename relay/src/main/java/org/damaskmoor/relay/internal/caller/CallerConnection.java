package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
 * A connection of a caller.
 *
 * <p>Confined to the event loop. Invariants: one request is served at a time, in the order of
 * arrival, so that a reply reaches only its own request; a malformed or ambiguous request is
 * refused and the connection closed, so that the rest of it is not taken for a request; a
 * disconnect of the caller is noticed while its request is served; a reply that can't be sent is
 * replaced by a failure.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int BAD_GATEWAY = 502;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int CONTINUE = 100;

    private final CallerServer server;
    private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteString.Output body;
    private long headAt;
    private long idleSince;
    private boolean serving;
    private boolean isHeadRequest;
    private boolean keepAlive = true;
    private boolean closing;
    private int unwrittenReplies;
    private Runnable onDisconnect = () -> {};

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        idleSince = server.now();
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
        } else if (serving) {
            pipelined.addLast(object);
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
        if (!RequestDecoder.isUnambiguous(request)) {
            refuse(BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > server.limits().bodyBytes()) {
            refuse(TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(CONTINUE)));
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
        isHeadRequest = request.method().name().equals("HEAD");
        String id = request.headers().get(HeaderNames.REQUEST_ID, "");
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        if (id.isEmpty() || host.isEmpty()) {
            reply(CallerReply.ofText(BAD_REQUEST, "The request must have a host and an id."), id);
            return;
        }
        CallerRequest callerRequest =
                new CallerRequest(
                        id,
                        request.method().name(),
                        host,
                        request.uri(),
                        ForwardedHeaders.ofRequest(request.headers()),
                        body.toByteString(),
                        timeoutMilliseconds(request),
                        headAt);
        body = null;
        onDisconnect = server.handler().handle(callerRequest, reply -> reply(reply, id));
    }

    private static long timeoutMilliseconds(HttpRequest request) {
        String text = request.headers().get(HeaderNames.REMAINING_MILLISECONDS);
        if (text == null) {
            return 0;
        }
        try {
            return Math.max(1, Long.parseLong(text.trim()));
        } catch (NumberFormatException invalid) {
            return 0;
        }
    }

    private void reply(CallerReply reply, String id) {
        onDisconnect = () -> {};
        if (!context.channel().isActive()) {
            return;
        }
        // A request that has arrived already must not be dropped with the connection.
        boolean close = !keepAlive || (server.isClosing() && pipelined.isEmpty());
        FullHttpResponse response = validResponse(reply, id);
        response.headers().set(HeaderNames.REQUEST_ID, id);
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        closing = close;
        serving = false;
        idleSince = server.now();
        ChannelFuture written = write(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (!pipelined.isEmpty()) {
            server.execute(this::readPipelined);
        }
    }

    private ChannelFuture write(FullHttpResponse response) {
        unwrittenReplies++;
        return context.writeAndFlush(response).addListener(done -> unwrittenReplies--);
    }

    /**
     * Other nodes may pass on an answer that is no valid HTTP message. Its request has run, so the
     * reply does not say that it did not.
     */
    private FullHttpResponse validResponse(CallerReply reply, String id) {
        try {
            return response(reply);
        } catch (IllegalArgumentException invalid) {
            server.failureLog().logUnsendable(context, id, invalid);
            return response(
                    CallerReply.ofText(BAD_GATEWAY, "The answer to the request can't be read."));
        }
    }

    private FullHttpResponse response(CallerReply reply) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        isHeadRequest
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

    private void readPipelined() {
        while (!pipelined.isEmpty() && !serving && !closing) {
            read(pipelined.pollFirst());
        }
        if (pipelined.isEmpty() && !closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Refuses a malformed, too large or too slow request and closes the connection. */
    private void refuse(int status) {
        head = null;
        closing = true;
        server.countMalformed(status);
        FullHttpResponse response =
                response(CallerReply.ofText(status, "The request was not read."));
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        write(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Refuses a request that takes too long to arrive, and closes a connection that is idle for too
     * long.
     */
    void checkTimeouts(long now, CallerLimits limits) {
        if (serving || closing) {
            return;
        }
        if (head != null) {
            if (now - headAt
                    > limits.headerTimeoutMilliseconds() + limits.idleTimeoutMilliseconds()) {
                refuse(REQUEST_TIMEOUT);
            }
        } else if (now - idleSince > limits.idleTimeoutMilliseconds()) {
            context.close();
        }
    }

    /** Whether a request is being read or served, or waits for that. */
    boolean isBusy() {
        return serving || head != null || !pipelined.isEmpty();
    }

    /** Whether the caller's connection has not yet taken all replies. */
    boolean hasUnwrittenReplies() {
        return unwrittenReplies > 0;
    }

    void close() {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        onDisconnect.run();
        onDisconnect = () -> {};
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        server.failureLog().close(failed, cause);
    }
}
