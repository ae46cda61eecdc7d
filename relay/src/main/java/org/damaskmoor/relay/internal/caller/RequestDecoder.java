package org.damaskmoor.relay.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.damaskmoor.platform.http.FoldedLineBound;
import org.damaskmoor.platform.protocol.HeaderNames;

/**
 * Decodes the requests of a caller.
 *
 * <p>Where two recipients could take different bytes for the end of a body, the rest of the body
 * would be a request that no caller sent. A message with such a length is decoded as a failure (RFC
 * 9112, section 6.3).
 *
 * <p>Confined to the event loop of its channel.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final FoldedLineBound foldedLines = new FoldedLineBound();

    RequestDecoder(HttpDecoderConfig configuration) {
        super(configuration);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded)
            throws Exception {
        foldedLines.decode(
                bytes,
                decoded,
                this::createInvalidMessage,
                () -> super.decode(context, bytes, decoded));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("A request has a Content-Length and is chunked.");
    }

    /**
     * Whether a decoded head has one meaning for all recipients: the only coding is {@code
     * chunked}, and the host and the id are given at most once.
     */
    static boolean isUnambiguous(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isChunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                        && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        return (codings.isEmpty() || isChunked)
                && head.headers().getAll(HttpHeaderNames.HOST).size() <= 1
                && head.headers().getAll(HeaderNames.REQUEST_ID).size() <= 1;
    }
}
