package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.damaskmoor.platform.protocol.ColdTimeDecoder;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.platform.protocol.LoadDecoder;
import org.damaskmoor.platform.protocol.NoticeDecoder;
import org.damaskmoor.relay.internal.net.ForwardedHeaders;

/**
 * The head of an answer of the upstream, and what may be concluded from it.
 *
 * <p>Confined to the event loop. Invariant: the head does not change.
 */
final class AnswerHead {
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpResponse response;

    AnswerHead(HttpResponse response) {
        this.response = response;
    }

    int status() {
        return response.status().code();
    }

    /** The id of the request that was answered; empty if the answer does not tell it. */
    String requestId() {
        return headers().get(HeaderNames.REQUEST_ID, "");
    }

    /** Whether the head names this id; an answer without an id answers no request. */
    boolean isAnswerTo(String id) {
        return id.equals(headers().get(HeaderNames.REQUEST_ID));
    }

    boolean isInterim() {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Health checks are sent without an id, so that an answer with one belongs to a call. */
    boolean isOfHealthCheck() {
        return requestId().isEmpty() && headers().contains(HeaderNames.UPSTREAM_ID);
    }

    /**
     * An upstream may refuse a request before reading it, and then sends no request id. A second
     * copy of such a refusal would look like the answer to the next call, so the connection must
     * not carry one.
     */
    boolean isRefusalWithoutId() {
        return isRefusal() && !headers().contains(HeaderNames.REQUEST_ID);
    }

    private boolean isRefusal() {
        boolean mayRefuse =
                status() == SERVICE_UNAVAILABLE
                        || status() == TOO_MANY_REQUESTS
                        || status() == BAD_REQUEST;
        return status() == MISDIRECTED_REQUEST
                || (mayRefuse && headers().contains(HeaderNames.NOT_RUN));
    }

    /** Whether the head tells the length of the body. */
    boolean hasContentLength() {
        return HttpUtil.isContentLengthSet(response);
    }

    /** Length of the body in bytes, 0 if the head does not tell it. */
    long contentLength() {
        return HttpUtil.getContentLength(response, 0L);
    }

    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(response);
    }

    /** Time for which the upstream keeps the connection open, {@code otherwise} if not told. */
    long keepAliveMilliseconds(long otherwise) {
        return KeepAliveTimeout.parseMilliseconds(response, otherwise);
    }

    /** Whether only the end of the connection marks the end of the answer. */
    boolean endsWithConnection() {
        return !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    /**
     * Returns the outcome of the call that was answered.
     *
     * @param source the kind of the answer, unless it says that the call was not run
     */
    UpstreamOutcome toOutcome(ByteString body, UpstreamReport.Source source, AnswerOrigin origin) {
        if (status() == MISDIRECTED_REQUEST) {
            return new UpstreamOutcome.NotRun(
                    UpstreamOutcome.Cause.OTHER_UPSTREAM, report(UpstreamReport.Source.REFUSAL));
        }
        if (isRefusal()) {
            return new UpstreamOutcome.NotRun(
                    UpstreamOutcome.Cause.SHED, report(UpstreamReport.Source.REFUSAL));
        }
        return new UpstreamOutcome.Answered(
                status(), ForwardedHeaders.ofAnswer(headers()), body, report(source), origin);
    }

    private UpstreamReport report(UpstreamReport.Source source) {
        return new UpstreamReport(
                source,
                LoadDecoder.decode(headers().get(HeaderNames.UPSTREAM_LOAD)),
                NoticeDecoder.decode(
                        headers().get(HeaderNames.UPSTREAM_LIMIT),
                        headers().get(HeaderNames.UPSTREAM_LEAVING)),
                ColdTimeDecoder.ofHeader(headers().get(HeaderNames.UPSTREAM_COLD)));
    }

    private HttpHeaders headers() {
        return response.headers();
    }
}
