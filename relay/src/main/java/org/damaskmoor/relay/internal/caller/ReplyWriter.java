package org.damaskmoor.relay.internal.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Encodes replies and writes them to a caller's connection, in the order in which it gets them.
 *
 * <p>Confined to the event loop. Invariant: a reply that can't be encoded is replaced by a failure.
 */
final class ReplyWriter {
    private static final int BAD_GATEWAY = 502;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int CONTINUE = 100;

    private final ChannelHandlerContext context;
    private final ConnectionFailureLog failureLog;
    private final LongSupplier clock;
    private OptionalLong closedAt = OptionalLong.empty();
    private int unwrittenReplies;

    ReplyWriter(
            ChannelHandlerContext context, LongSupplier clock, ConnectionFailureLog failureLog) {
        this.context = context;
        this.clock = clock;
        this.failureLog = failureLog;
    }

    /** Whether the connection has not yet taken all replies. */
    boolean hasUnwrittenReplies() {
        return unwrittenReplies > 0;
    }

    /** Asks the caller to send the body of its request. */
    void writeContinue() {
        context.writeAndFlush(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(CONTINUE)));
    }

    /** Writes a reply, without a flush; the connection stays open. */
    void write(OutgoingReply outgoing) {
        unwrittenReplies++;
        context.write(validResponse(outgoing)).addListener(done -> unwrittenReplies--);
    }

    /** Writes the last reply and ends the output behind it; the caller then closes its side. */
    void writeAndClose(OutgoingReply outgoing) {
        FullHttpResponse response = validResponse(outgoing);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        unwrittenReplies++;
        context.writeAndFlush(response)
                .addListener(done -> unwrittenReplies--)
                .addListener((ChannelFuture written) -> endOutput(written));
    }

    private void endOutput(ChannelFuture written) {
        closedAt = OptionalLong.of(clock.getAsLong());
        if (written.isSuccess() && context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else {
            context.close();
        }
    }

    /** Whether the connection has taken the last reply, at the given time or before. */
    boolean isClosedSince(long time) {
        return closedAt.isPresent() && closedAt.getAsLong() <= time;
    }

    /**
     * Other nodes may pass on an answer that is no valid HTTP message. Its request has run, so the
     * reply does not say that it did not.
     */
    private FullHttpResponse validResponse(OutgoingReply outgoing) {
        FullHttpResponse response;
        try {
            response = response(outgoing.reply(), outgoing.isToHead());
        } catch (IllegalArgumentException invalid) {
            failureLog.logUnsendable(context, outgoing.requestId().orElse(""), invalid);
            response =
                    response(
                            CallerReply.ofText(
                                    BAD_GATEWAY, "The answer to the request can't be read."),
                            outgoing.isToHead());
        }
        if (outgoing.requestId().isPresent()) {
            response.headers().set(HeaderNames.REQUEST_ID, outgoing.requestId().get());
        }
        return response;
    }

    private static FullHttpResponse response(CallerReply reply, boolean isToHead) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        isToHead
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
}
