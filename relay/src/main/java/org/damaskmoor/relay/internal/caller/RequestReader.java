package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Supplier;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.relay.internal.net.ForwardedHeaders;

/**
 * Assembles the requests of a caller's connection from decoded parts.
 *
 * <p>Confined to the event loop. Invariant: a malformed, ambiguous or too large request is refused,
 * and nothing behind it is read.
 */
final class RequestReader {
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;

    /** Receives what was read. */
    interface Listener {
        /**
         * A request was read completely.
         *
         * @param keepAlive whether the caller may send another one behind it
         */
        void onRequest(CallerRequest request, boolean keepAlive);

        /** A request can't be read; nothing more may be passed to the reader. */
        void onUnreadable(int status);
    }

    private final Supplier<CallerLimits> limits;
    private final Listener listener;
    private HttpRequest head;
    private ByteString.Output body;
    private long headAt;
    private boolean awaitsContinue;

    RequestReader(Supplier<CallerLimits> limits, Listener listener) {
        this.limits = limits;
        this.listener = listener;
    }

    /**
     * Reads a part of a request; the caller of this method releases it.
     *
     * @param readAt when it was read from the connection
     */
    void read(HttpObject part, long readAt) {
        if (part.decoderResult().isFailure()) {
            refuse(statusOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request, readAt);
        }
        if (part instanceof HttpContent content && head != null) {
            append(content);
        }
    }

    private static int statusOf(Throwable cause) {
        return cause instanceof TooLongFrameException ? HEADERS_TOO_LARGE : BAD_REQUEST;
    }

    private void begin(HttpRequest request, long readAt) {
        head = request;
        headAt = readAt;
        body = ByteString.newOutput();
        if (!RequestDecoder.isUnambiguous(request)) {
            refuse(BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > limits.get().bodyBytes()) {
            refuse(TOO_LARGE);
        } else {
            awaitsContinue = HttpUtil.is100ContinueExpected(request);
        }
    }

    private void append(HttpContent content) {
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().getBytes(content.content().readerIndex(), bytes);
        if (body.size() + (long) bytes.length > limits.get().bodyBytes()) {
            refuse(TOO_LARGE);
            return;
        }
        body.write(bytes, 0, bytes.length);
        awaitsContinue = false;
        if (content instanceof LastHttpContent) {
            finish();
        }
    }

    private void finish() {
        HttpRequest request = head;
        ByteString complete = body.toByteString();
        head = null;
        body = null;
        listener.onRequest(
                new CallerRequest(
                        request.headers().get(HeaderNames.REQUEST_ID, ""),
                        request.method().name(),
                        request.headers().get(HttpHeaderNames.HOST, ""),
                        request.uri(),
                        ForwardedHeaders.ofRequest(request.headers()),
                        complete,
                        timeoutMilliseconds(request),
                        headAt),
                HttpUtil.isKeepAlive(request));
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

    /** Gives up the request that is being read. */
    void refuse(int status) {
        head = null;
        body = null;
        awaitsContinue = false;
        listener.onUnreadable(status);
    }

    /** Whether a request has been read in part. */
    boolean isInRequest() {
        return head != null;
    }

    /** When the request that has been read in part arrived. */
    long headAt() {
        return headAt;
    }

    /** Bytes that have been read of the body of the request that is being read. */
    int bodyBytes() {
        return body == null ? 0 : body.size();
    }

    /** Whether the caller may wait for 100 Continue before it sends the body. */
    boolean awaitsContinue() {
        return awaitsContinue;
    }

    void onContinueSent() {
        awaitsContinue = false;
    }
}
