package org.damaskmoor.relay.internal.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import org.damaskmoor.core.pipelining.RequestPipeline;
import org.damaskmoor.core.routetable.CallerLimits;

/**
 * A connection of a caller: passes what {@link RequestReader} reads to the handler and the replies
 * to {@link ReplyWriter}, as {@link RequestPipeline} decides.
 *
 * <p>Confined to the event loop. Invariants: replies are sent in the order of the requests, each
 * only for its own request; a malformed or ambiguous request is refused and the connection closed,
 * so that the rest of it is not taken for a request; nothing behind a reply that closes the
 * connection was started, and all that was read before it is answered; a disconnect of the caller
 * stops all its running requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements RequestReader.Listener {
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;

    /**
     * Time for a caller to close its side after the last reply. A connection that is closed while
     * further requests arrive is reset, which may cut the reply short.
     */
    private static final long LINGER_MILLISECONDS = 1000;

    private final CallerServer server;
    private final RequestPipeline<PendingRequest, OutgoingReply> pipeline = new RequestPipeline<>();
    private final RequestReader reader;
    private final ArrayDeque<ReadPart> unread = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private ReplyWriter writer;
    private long lastReplyAt;
    private long readingSince;
    private boolean inReadBatch;
    private boolean advancing;
    private boolean closing;

    /** A decoded part of a request that waits for room, and when it was read. */
    private record ReadPart(HttpObject part, long readAt) {}

    CallerConnection(CallerServer server) {
        this.server = server;
        this.reader = new RequestReader(server::limits, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        writer = new ReplyWriter(active, server::now, server.failureLog());
        lastReplyAt = server.now();
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        HttpObject part = (HttpObject) message;
        if (!inReadBatch && mustEndReading()) {
            pipeline.endReading();
        }
        inReadBatch = true;
        if (pipeline.isEnded()) {
            ReferenceCountUtil.release(part);
            return;
        }
        unread.addLast(new ReadPart(part, server.now()));
        advance();
    }

    /**
     * While the node stops, what arrives behind requests that are being answered belongs behind the
     * closing reply. Parts of the same read are kept, because they arrived together with these.
     */
    private boolean mustEndReading() {
        return server.isClosing()
                && !pipeline.isEmpty()
                && !reader.isInRequest()
                && unread.isEmpty();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext active) {
        inReadBatch = false;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (changed.channel().isWritable()) {
            server.execute(this::resume);
        }
    }

    /** Writes, starts and reads all that is allowed now. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            boolean progress = true;
            while (progress && !closing) {
                progress = writeReplies() || startRequests() || readParts();
            }
        } finally {
            advancing = false;
        }
        updateReading();
    }

    /** Advances outside the events of the channel; a failure concerns only this connection. */
    private void resume() {
        try {
            advance();
        } catch (RuntimeException failure) {
            server.failureLog().close(context, failure);
        }
    }

    private boolean writeReplies() {
        boolean written = false;
        while (!closing && context.channel().isWritable()) {
            Optional<OutgoingReply> next = pipeline.nextAnswer();
            if (next.isEmpty()) {
                break;
            }
            written = true;
            lastReplyAt = server.now();
            if (pipeline.isComplete() || (server.isClosing() && !isBusy())) {
                closing = true;
                pipeline.endReading();
                writer.writeAndClose(next.get());
            } else {
                writer.write(next.get());
            }
        }
        if (written && !closing) {
            context.flush();
        }
        return written;
    }

    /** Nothing starts while the caller does not read its replies. */
    private boolean startRequests() {
        boolean started = false;
        while (!closing && context.channel().isWritable()) {
            Optional<PendingRequest> next = pipeline.start(this::isIdempotent);
            if (next.isEmpty()) {
                break;
            }
            started = true;
            start(next.get());
        }
        return started;
    }

    private boolean isIdempotent(PendingRequest pending) {
        return !pending.isNamed()
                || server.handler()
                        .isIdempotent(pending.request().host(), pending.request().path());
    }

    private void start(PendingRequest pending) {
        if (!pending.isNamed()) {
            reply(
                    pending,
                    CallerReply.ofText(BAD_REQUEST, "The request must have a host and an id."));
            return;
        }
        pending.onStarted(
                server.handler().handle(pending.request(), reply -> reply(pending, reply)));
    }

    private boolean readParts() {
        boolean progress = false;
        while (!unread.isEmpty() && pipeline.hasRoom(reader.bodyBytes())) {
            progress = true;
            ReadPart next = unread.pollFirst();
            try {
                reader.read(next.part(), next.readAt());
            } finally {
                ReferenceCountUtil.release(next.part());
            }
        }
        // Sent behind earlier replies only, because a caller takes it for its first open request.
        if (reader.awaitsContinue() && pipeline.isEmpty()) {
            reader.onContinueSent();
            readingSince = server.now();
            writer.writeContinue();
        }
        return progress;
    }

    /** Reads from the connection only if nothing waits for room. */
    private void updateReading() {
        if (pipeline.isEnded()) {
            releaseUnread();
        }
        boolean reading = unread.isEmpty();
        if (reading == context.channel().config().isAutoRead()) {
            return;
        }
        if (reading) {
            readingSince = server.now();
        } else {
            server.failureLog().logReadingPaused(context, pipeline.size(), pipeline.bytes());
        }
        context.channel().config().setAutoRead(reading);
    }

    private void releaseUnread() {
        unread.forEach(waiting -> ReferenceCountUtil.release(waiting.part()));
        unread.clear();
    }

    @Override
    public void onRequest(CallerRequest request, boolean keepAlive) {
        pipeline.onRead(new PendingRequest(request), request.body().size());
        if (!keepAlive) {
            pipeline.endReading();
        }
    }

    @Override
    public void onUnreadable(int status) {
        server.countMalformed(status);
        pipeline.onUnreadable(OutgoingReply.refusal(status));
    }

    private void reply(PendingRequest pending, CallerReply reply) {
        pending.onAnswered();
        if (!context.channel().isActive()) {
            return;
        }
        pipeline.onAnswered(
                pending, OutgoingReply.to(pending.request(), reply), reply.body().size());
        if (advancing) {
            return;
        }
        // Replies leave at once, because a node that stops closes its connections after them.
        writeReplies();
        if (closing) {
            updateReading();
        } else if (pipeline.hasUnstarted() || !unread.isEmpty() || reader.awaitsContinue()) {
            server.execute(this::resume);
        }
    }

    /**
     * Refuses a request that takes too long to arrive, and closes a connection that is idle, or
     * whose caller takes no replies, for too long.
     */
    void checkTimeouts(long now, CallerLimits limits) {
        boolean isIdle = now - lastReplyAt > limits.idleTimeoutMilliseconds();
        if (closing) {
            boolean isUntaken = isIdle && writer.hasUnwrittenReplies();
            if (isUntaken || writer.isClosedSince(now - LINGER_MILLISECONDS)) {
                context.close();
            }
            return;
        }
        boolean isStalled = !context.channel().isWritable() && pipeline.running().isEmpty();
        if (isIdle && (!isBusy() || (isStalled && !pipeline.isEmpty()))) {
            context.close();
        } else if (isLate(now, limits)) {
            reader.refuse(REQUEST_TIMEOUT);
            resume();
        }
    }

    /** Time in which this node itself holds the caller back does not count. */
    private boolean isLate(long now, CallerLimits limits) {
        return reader.isInRequest()
                && unread.isEmpty()
                && !reader.awaitsContinue()
                && now - Math.max(reader.headAt(), readingSince)
                        > limits.headerTimeoutMilliseconds() + limits.idleTimeoutMilliseconds();
    }

    /** Whether a request is being read or served, or waits for that. */
    boolean isBusy() {
        return !pipeline.isEmpty() || (!closing && (reader.isInRequest() || !unread.isEmpty()));
    }

    /** Whether the caller's connection has not yet taken all replies. */
    boolean hasUnwrittenReplies() {
        return writer.hasUnwrittenReplies();
    }

    void close() {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        pipeline.endReading();
        releaseUnread();
        pipeline.running().forEach(PendingRequest::onDisconnected);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        server.failureLog().close(failed, cause);
    }
}
