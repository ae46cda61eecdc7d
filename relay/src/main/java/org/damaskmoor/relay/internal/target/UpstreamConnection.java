package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.platform.protocol.LoadDecoder;
import org.damaskmoor.relay.internal.net.ForwardedHeaders;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * One connection to the upstream, for one call at a time.
 *
 * <p>Only an answer that carries the id of the present call is taken for its answer: another one
 * came too late for a former call, or twice, and is skipped. Interim answers are skipped.
 *
 * <p>Confined to the event loop. Invariants: a call has one outcome; after an answer that was not
 * asked for, bytes that can't be read, or an answer before the request was sent in full, the
 * connection is not used again.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final int MISDIRECTED = 421;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final UpstreamConnectionPool pool;
    private Channel channel;
    private Consumer<UpstreamOutcome> waiting;
    private String requestId = "";
    private ChannelFuture written;
    private boolean spoiled;
    private HttpResponse head;
    private boolean skipping;
    private boolean checking;
    private ByteString.Output body;
    private long idleSince;
    private long keptMilliseconds;

    UpstreamConnection(UpstreamConnectionPool pool, long keptMilliseconds) {
        this.pool = pool;
        this.keptMilliseconds = keptMilliseconds;
    }

    /** Sends a call; the outcome comes once. */
    void send(String callerRequestId, FullHttpRequest request, Consumer<UpstreamOutcome> outcome) {
        requestId = callerRequestId;
        waiting = outcome;
        head = null;
        written = channel.writeAndFlush(request);
    }

    /** Sends a health check; its load comes once, empty when there is none. */
    void checkHealth(FullHttpRequest request, Consumer<Optional<UpstreamLoad>> told) {
        checking = true;
        send("", request, outcome -> told.accept(load(outcome)));
    }

    private static Optional<UpstreamLoad> load(UpstreamOutcome outcome) {
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            return answered.load();
        }
        return outcome instanceof UpstreamOutcome.NotRun notRun ? notRun.load() : Optional.empty();
    }

    /** Gives the present call up and closes. */
    void abandon() {
        waiting = null;
        channel.close();
    }

    boolean isUsable() {
        return channel.isActive() && !spoiled && waiting == null;
    }

    long idleSince() {
        return idleSince;
    }

    void markIdle(long now) {
        idleSince = now;
    }

    /** How long the upstream keeps it open while it is idle, in milliseconds. */
    long keepAliveMilliseconds() {
        return keptMilliseconds;
    }

    void close() {
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            onMessage((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            end(new UpstreamOutcome.Failed("the answer can't be read"));
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content && head != null) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse response) {
        head = response;
        body = ByteString.newOutput();
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean own =
                checking
                        ? response.headers().contains(HeaderNames.UPSTREAM_ID)
                        : requestId.equals(response.headers().get(HeaderNames.REQUEST_ID));
        boolean refused = isRefusal(response);
        skipping = interim || waiting == null || !(own || refused);
        if (skipping && !interim) {
            spoiled = true;
            if (waiting == null) {
                channel.close();
            }
        }
    }

    /** A refusal may be written before the request was read, and so without its id. */
    private static boolean isRefusal(HttpResponse response) {
        boolean refused =
                response.status().code() == MISDIRECTED
                        || response.headers().contains(HeaderNames.NOT_RUN);
        return refused && !response.headers().contains(HeaderNames.REQUEST_ID);
    }

    private void onContent(HttpContent content) {
        if (!skipping) {
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().getBytes(content.content().readerIndex(), bytes);
            body.write(bytes, 0, bytes.length);
        }
        if (content instanceof LastHttpContent) {
            boolean whole = !skipping;
            skipping = false;
            HttpResponse ended = head;
            head = null;
            if (whole && waiting != null) {
                finish(ended);
            }
        }
    }

    private void finish(HttpResponse response) {
        boolean reusable =
                !spoiled
                        && written.isDone()
                        && HttpUtil.isKeepAlive(response)
                        && (HttpUtil.isContentLengthSet(response)
                                || HttpUtil.isTransferEncodingChunked(response));
        keptMilliseconds = KeepAliveTimeout.parseMilliseconds(response, keptMilliseconds);
        UpstreamOutcome outcome = outcome(response);
        if (!reusable) {
            spoiled = true;
        }
        end(outcome);
    }

    private UpstreamOutcome outcome(HttpResponse response) {
        Optional<UpstreamLoad> load =
                LoadDecoder.decode(response.headers().get(HeaderNames.UPSTREAM_LOAD));
        int status = response.status().code();
        if (status == MISDIRECTED) {
            return new UpstreamOutcome.NotRun(UpstreamOutcome.Cause.OTHER_UPSTREAM, load);
        }
        boolean mayRefuse = status == UNAVAILABLE || status == TOO_MANY || status == BAD_REQUEST;
        if (mayRefuse && response.headers().contains(HeaderNames.NOT_RUN)) {
            return new UpstreamOutcome.NotRun(UpstreamOutcome.Cause.SHED, load);
        }
        List<HeaderField> headers = ForwardedHeaders.ofAnswer(response.headers());
        return new UpstreamOutcome.Answered(status, headers, body.toByteString(), load);
    }

    private void end(UpstreamOutcome outcome) {
        Consumer<UpstreamOutcome> told = waiting;
        waiting = null;
        checking = false;
        if (outcome instanceof UpstreamOutcome.Failed) {
            spoiled = true;
        }
        if (spoiled) {
            channel.close();
        } else {
            pool.release(this);
        }
        if (told != null) {
            told.accept(outcome);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        spoiled = true;
        pool.remove(this);
        if (waiting != null) {
            end(new UpstreamOutcome.Failed("the upstream closed the connection"));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(new UpstreamOutcome.Failed("the connection failed: " + cause.getMessage()));
        context.close();
    }
}
