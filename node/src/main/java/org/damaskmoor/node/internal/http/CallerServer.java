package org.damaskmoor.node.internal.http;

import com.google.protobuf.ByteString;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.schema.mesh.HeaderField;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The port for callers: reads whole requests, hands them on and writes the replies.
 *
 * <p>Confined to the caller event loop, but for {@link #start} and {@link #stop}. Invariant: a
 * connection serves one request at a time, so that a reply reaches only its own request.
 */
public final class CallerServer {
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);

    private final Eventloop loop;
    private final int maximumBodyBytes;
    private final CallerHandler handler;
    private final LongSupplier clock;
    private final HttpServer server;
    private final IdentityHashMap<HttpServerConnection, Runnable> openRequests =
            new IdentityHashMap<>();
    private boolean stopping;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the caller event loop
     * @param address where it will listen
     * @param maximumBodyBytes longest body of a request
     * @param stopTimeout longest time that {@link #stop} waits for open requests
     * @param handler leads requests to their replies
     * @param clock the monotonic clock, in nanoseconds
     */
    public CallerServer(
            Eventloop loop,
            InetSocketAddress address,
            int maximumBodyBytes,
            Duration stopTimeout,
            CallerHandler handler,
            LongSupplier clock) {
        this.loop = loop;
        this.maximumBodyBytes = maximumBodyBytes;
        this.handler = handler;
        this.clock = clock;
        this.server =
                HttpServer.builder(loop, this::serve)
                        .withListenAddress(address)
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .withServeTimeoutShutdown(stopTimeout)
                        .withHttpErrorFormatter(exception -> unreadable(exception))
                        .withInspector(new DisconnectInspector(this::onDisconnect))
                        .build();
    }

    /** Opens the port. Fails when it can't be opened, for example because it is in use. */
    public CompletableFuture<Void> start() {
        return loop.submit(this::listen);
    }

    /** Takes no new connection, finishes the open requests and closes. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    stopping = true;
                    server.close().whenComplete(() -> stopped.complete(null));
                });
        return stopped;
    }

    private void listen() throws IOException {
        server.listen();
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        if (RequestChecks.isAmbiguous(request)) {
            return refuseUnread(request, RefusalReason.MALFORMED);
        }
        return request.loadBody(maximumBodyBytes)
                .then(
                        body -> dispatch(request, body),
                        exception -> refuseUnread(request, RequestChecks.reason(exception)));
    }

    private Promise<HttpResponse> dispatch(HttpRequest request, ByteBuf body) {
        CallerRequest callerRequest = callerRequest(request, body);
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        HttpServerConnection connection = request.getConnection();
        Runnable cancellation =
                handler.handle(callerRequest, reply -> finish(connection, reply, response));
        if (!response.isComplete()) {
            openRequests.put(connection, cancellation);
        }
        return response;
    }

    private void finish(
            HttpServerConnection connection,
            CallerReply reply,
            SettablePromise<HttpResponse> response) {
        openRequests.remove(connection);
        response.trySet(response(reply));
    }

    private void onDisconnect(HttpServerConnection connection) {
        Runnable cancellation = openRequests.remove(connection);
        if (cancellation != null) {
            cancellation.run();
        }
    }

    private CallerRequest callerRequest(HttpRequest request, ByteBuf body) {
        String host = request.getHeader(HttpHeaders.HOST);
        return new CallerRequest(
                request.getMethod().name(),
                request.getPath(),
                request.getPathAndQuery(),
                CallerRequest.hostWithoutPort(host == null ? "" : host),
                HeaderFields.endToEnd(request),
                ByteString.copyFrom(body.getArray()),
                request.getRemoteAddress(),
                clock.getAsLong());
    }

    private HttpResponse response(CallerReply reply) {
        HttpResponse.Builder response = HttpResponse.ofCode(reply.status());
        for (HeaderField field : reply.headers()) {
            response.withHeader(HttpHeaders.of(field.getName()), field.getValue());
        }
        if (stopping) {
            response.withHeader(HttpHeaders.CONNECTION, "close");
        }
        response.withBody(reply.body().toByteArray());
        return response.build();
    }

    private Promise<HttpResponse> refuseUnread(HttpRequest request, RefusalReason reason) {
        return refusal(RequestChecks.callerName(request), reason);
    }

    private Promise<HttpResponse> unreadable(Exception exception) {
        return refusal(RequestChecks.UNKNOWN_CALLER, RequestChecks.reason(exception));
    }

    private Promise<HttpResponse> refusal(String caller, RefusalReason reason) {
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        Consumer<CallerReply> whenReady = reply -> response.trySet(response(reply));
        handler.refuseUnread(caller, reason, whenReady);
        return response;
    }
}
