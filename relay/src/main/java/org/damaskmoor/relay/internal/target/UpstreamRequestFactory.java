package org.damaskmoor.relay.internal.target;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Set;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.mesh.HeaderField;

/** Creates the HTTP requests that are sent to the upstream. Thread-safe: pure functions. */
final class UpstreamRequestFactory {
    /** Methods whose requests usually have a body, so that an empty one needs a Content-Length. */
    private static final Set<String> WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private UpstreamRequestFactory() {}

    static FullHttpRequest healthCheck(String path, InetSocketAddress upstream) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers()
                .set(HttpHeaderNames.HOST, upstream.getHostString() + ":" + upstream.getPort());
        return request;
    }

    /**
     * Creates the request of a call, without the time that is left.
     *
     * @throws IllegalArgumentException if the call is no valid HTTP request
     */
    static FullHttpRequest of(ForwardedCall call, UpstreamId upstream) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.getMethod()),
                        call.getTarget(),
                        Unpooled.wrappedBuffer(call.getBody().asReadOnlyByteBuffer()));
        HttpHeaders headers = request.headers();
        for (HeaderField field : call.getHeadersList()) {
            headers.add(field.getName(), field.getValue());
        }
        headers.set(HeaderNames.REQUEST_ID, call.getCallerRequestId());
        headers.set(HeaderNames.EXPECTED_UPSTREAM, upstream.value());
        headers.set(HeaderNames.CALLER_SERVICE, call.getCallerService());
        if (!call.getTenant().isEmpty()) {
            headers.set(HeaderNames.TENANT, call.getTenant());
        }
        if (!call.getBody().isEmpty() || WITH_BODY.contains(call.getMethod())) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, call.getBody().size());
        }
        return request;
    }

    /** Sets the time that is left when the request is sent. */
    static void setRemaining(FullHttpRequest request, long milliseconds) {
        request.headers().set(HeaderNames.REMAINING_MILLISECONDS, Long.toString(milliseconds));
    }
}
