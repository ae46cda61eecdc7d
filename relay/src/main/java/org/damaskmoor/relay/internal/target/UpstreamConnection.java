package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator.ExtendedHandle;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.core.buffer.BufferBudget;
import org.damaskmoor.platform.http.ResponseDecoder;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * An HTTP connection to the upstream that carries one call at a time.
 *
 * <p>Only an answer with the id of the current request is accepted. Another one is a late answer to
 * an earlier call, or a duplicate, and is skipped. Interim (1xx) answers are skipped. An upstream
 * that does not stop sending is cut off at a bound. While many large answers arrive together, some
 * are not read until others are complete.
 *
 * <p>Confined to the event loop. Invariants: a call has one outcome; the body of an answer is at
 * most {@code maxAnswerBytes} long, and so are the skipped bodies of a call together; an answer
 * that ends with its connection is complete only if the upstream ended it; a body in which another
 * answer begins is not complete if bytes follow it; a connection brings at most one refusal without
 * an id, which ends it; after bytes that belong to no call, unreadable bytes, or an answer before
 * the request was sent in full, the connection is not reused.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Format of a text in a log line that the upstream determines. */
    private static final String SHORTENED = "%.80s";

    /** Interim and foreign answers that may precede the answer to a call. */
    private static final int MAX_SKIPPED_ANSWERS = 32;

    /** Greatest length of the body of an answer to a health check. */
    private static final long MAX_HEALTH_ANSWER_BYTES = 64 * 1024;

    /** Longest wait for one more read behind an answer that filled the last one. */
    private static final long READ_ON_MILLISECONDS = 1;

    private final UpstreamConnectionPool pool;
    private final ResponseDecoder decoder;
    private final long maxAnswerBytes;
    private final BufferBudget<UpstreamConnection> budget;
    private final EventLog log;
    private Channel channel;
    private Consumer<UpstreamOutcome> pendingOutcome;
    private String requestId = "";
    private ChannelFuture written;
    private boolean notReusable;
    private AnswerHead head;
    private AnswerHead answered;
    private boolean readingOn;
    private boolean skippingBody;
    private boolean healthChecking;
    private int calls;
    private int skippedAnswers;
    private long skippedBytes;
    private ByteString.Output body;
    private EmbeddedAnswerScanner embedded;
    private long idleSince;
    private long keepAliveMilliseconds;

    UpstreamConnection(
            UpstreamConnectionPool pool,
            HttpDecoderConfig decoding,
            long maxAnswerBytes,
            BufferBudget<UpstreamConnection> budget,
            EventLog log,
            long keepAliveMilliseconds) {
        this.pool = pool;
        this.decoder = new ResponseDecoder(decoding, this::onUnexpectedBytes);
        this.maxAnswerBytes = maxAnswerBytes;
        this.budget = budget;
        this.log = log;
        this.keepAliveMilliseconds = keepAliveMilliseconds;
    }

    /** The decoder of this connection, which comes before it in the pipeline. */
    ResponseDecoder decoder() {
        return decoder;
    }

    /** Sends a call; the outcome is reported once. */
    void send(String callerRequestId, FullHttpRequest request, Consumer<UpstreamOutcome> outcome) {
        requestId = callerRequestId;
        pendingOutcome = outcome;
        head = null;
        calls++;
        skippedAnswers = 0;
        skippedBytes = 0;
        decoder.await(request.method());
        written = channel.writeAndFlush(request);
    }

    /** Sends a health check; the report is given once, empty if there is no answer. */
    void checkHealth(FullHttpRequest request, Consumer<Optional<UpstreamReport>> onReport) {
        healthChecking = true;
        send("", request, outcome -> onReport.accept(report(outcome)));
    }

    private static Optional<UpstreamReport> report(UpstreamOutcome outcome) {
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            return Optional.of(answered.report());
        }
        return outcome instanceof UpstreamOutcome.NotRun notRun
                ? Optional.of(notRun.report())
                : Optional.empty();
    }

    /** Abandons the current call and closes the connection. */
    void abandon() {
        pendingOutcome = null;
        notReusable = true;
        decoder.endAwaiting();
        releaseBuffer();
        channel.close();
    }

    boolean isUsable() {
        return channel.isActive() && !notReusable && pendingOutcome == null;
    }

    long idleSince() {
        return idleSince;
    }

    void markIdle(long now) {
        idleSince = now;
    }

    /** Time for which the upstream keeps the connection open while it is idle. */
    long keepAliveMilliseconds() {
        return keepAliveMilliseconds;
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
            String cause = String.valueOf(message.decoderResult().cause().getMessage());
            fail("the answer can't be read: " + String.format(SHORTENED, cause));
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(new AnswerHead(response));
        }
        if (message instanceof HttpContent content && head != null) {
            onContent(content);
        }
    }

    private void onUnexpectedBytes() {
        if (!notReusable) {
            notReusable = true;
            log.event("bytes-unexpected")
                    .with("after", requestId)
                    .with("connection", localPort())
                    .with("connection_calls", calls)
                    .write();
        }
        channel.close();
    }

    private void onHead(AnswerHead received) {
        head = received;
        body = ByteString.newOutput();
        embedded = new EmbeddedAnswerScanner();
        boolean matchesRequest =
                healthChecking ? received.isOfHealthCheck() : received.isAnswerTo(requestId);
        skippingBody = received.isInterim() || !(matchesRequest || received.isRefusalWithoutId());
        if (skippingBody) {
            if (!received.isInterim()) {
                notReusable = true;
                logSkipped(received);
            }
            skippedAnswers++;
            if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
                fail("the upstream sent more than " + MAX_SKIPPED_ANSWERS + " other answers");
            }
        } else if (received.contentLength() > bodyLimit()) {
            fail(tooLong());
        }
    }

    private void logSkipped(AnswerHead skipped) {
        log.event("answer-skipped")
                .with("request", requestId)
                .with("id", String.format(SHORTENED, skipped.requestId()))
                .with("status", skipped.status())
                .with("connection", localPort())
                .with("connection_calls", calls)
                .write();
    }

    private int localPort() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** The answer is faulty, or it is incomplete because the connection has ended. */
    private void fail(String detail) {
        head = null;
        end(new UpstreamOutcome.Failed(detail, !channel.isActive()));
    }

    private long bodyLimit() {
        return healthChecking ? MAX_HEALTH_ANSWER_BYTES : maxAnswerBytes;
    }

    private String tooLong() {
        return "the answer is longer than " + bodyLimit() + " bytes";
    }

    private void onContent(HttpContent content) {
        int length = content.content().readableBytes();
        if (skippingBody) {
            skippedBytes += length;
            if (skippedBytes > maxAnswerBytes) {
                fail("other answers are longer than " + maxAnswerBytes + " bytes");
                return;
            }
        } else if (body.size() + (long) length > bodyLimit()) {
            fail(tooLong());
            return;
        } else {
            append(content, length);
        }
        if (content instanceof LastHttpContent) {
            boolean accepted = !skippingBody;
            skippingBody = false;
            AnswerHead completed = head;
            head = null;
            if (accepted && pendingOutcome != null) {
                if (completed.endsWithConnection() && requestBrokeOff()) {
                    fail("the connection broke off within the answer");
                } else {
                    answered = completed;
                    decoder.pause();
                }
            }
        }
    }

    /**
     * Whether the connection failed while the request was being written. The write then meets a
     * reset first, and the channel is closed without an exception, as after an orderly end; in that
     * case the write fails because the channel was closed.
     */
    private boolean requestBrokeOff() {
        Throwable cause = written.cause();
        return cause != null && !(cause instanceof ClosedChannelException);
    }

    private void append(HttpContent content, int length) {
        byte[] bytes = new byte[length];
        content.content().getBytes(content.content().readerIndex(), bytes);
        body.write(bytes, 0, length);
        if (!head.hasContentLength()) {
            embedded.scan(bytes);
        }
        if (!budget.add(this, length)) {
            channel.config().setAutoRead(false);
        }
    }

    /** Continues to read an answer after other answers have ended. */
    private void resume() {
        channel.config().setAutoRead(true);
    }

    private void releaseBuffer() {
        channel.config().setAutoRead(true);
        budget.release(this).forEach(UpstreamConnection::resume);
    }

    /** Ends a call when the bytes that have arrived with its answer can be seen. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (answered != null && !readingOn && wasReadFull()) {
            readingOn = true;
            context.executor()
                    .schedule(this::finishAnswered, READ_ON_MILLISECONDS, TimeUnit.MILLISECONDS);
        } else {
            finishAnswered();
        }
        context.fireChannelReadComplete();
    }

    /** Whether the last read filled its buffer, so that more bytes may have arrived. */
    private boolean wasReadFull() {
        return channel.unsafe().recvBufAllocHandle() instanceof ExtendedHandle read
                && read.lastBytesRead() == read.attemptedBytesRead();
    }

    private void finishAnswered() {
        AnswerHead completed = answered;
        answered = null;
        readingOn = false;
        if (completed != null && pendingOutcome != null) {
            finish(completed);
        }
    }

    private void finish(AnswerHead completed) {
        boolean reusable =
                !notReusable
                        && !completed.isRefusalWithoutId()
                        && written.isDone()
                        && completed.isKeepAlive()
                        && !completed.endsWithConnection();
        keepAliveMilliseconds = completed.keepAliveMilliseconds(keepAliveMilliseconds);
        notReusable = !reusable;
        UpstreamReport.Source source =
                healthChecking ? UpstreamReport.Source.HEALTH_CHECK : UpstreamReport.Source.ANSWER;
        AnswerOrigin origin = new AnswerOrigin(localPort(), calls, skippedAnswers);
        ByteString wholeBody = body.toByteString();
        boolean runsIntoAnother =
                (decoder.hasMoreBytes() && decoder.isStatusLineWithin(wholeBody))
                        || embedded.hasFound();
        if (runsIntoAnother) {
            fail("the answer runs into another one");
        } else {
            end(completed.toOutcome(wholeBody, source, origin));
        }
    }

    private void end(UpstreamOutcome outcome) {
        Consumer<UpstreamOutcome> receiver = pendingOutcome;
        pendingOutcome = null;
        healthChecking = false;
        body = null;
        releaseBuffer();
        if (outcome instanceof UpstreamOutcome.Failed) {
            notReusable = true;
        }
        if (!decoder.endAwaiting()) {
            onUnexpectedBytes();
        }
        if (notReusable) {
            channel.close();
        } else {
            pool.release(this);
        }
        if (receiver != null) {
            receiver.accept(outcome);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        finishAnswered();
        notReusable = true;
        pool.remove(this);
        releaseBuffer();
        if (pendingOutcome != null) {
            end(new UpstreamOutcome.Failed("the upstream closed the connection", true));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        notReusable = true;
        finishAnswered();
        end(new UpstreamOutcome.Failed("the connection failed: " + cause.getMessage(), true));
        context.close();
    }
}
