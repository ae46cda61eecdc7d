package org.damaskmoor.node.internal.http;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The port for callers: reads whole requests, hands them on and writes the replies.
 *
 * <p>Confined to the caller event loop, but for {@link #start} and {@link #stop}. Invariants: a
 * connection serves one request at a time, so that a reply reaches only its own request; what can't
 * be read is refused and its connection closed, so that the rest is not taken for a request.
 */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);
    private static final int CLIENT_CLOSED = 499;

    private final Eventloop loop;
    private final CallerLimits limits;
    private final CallerRequestHandler handler;
    private final LongSupplier clock;
    private final CallerAcceptor listener;
    private final HttpServer server;
    private final ConnectionRefuser refusals;
    private final ConnectionLimiter connections;
    private CallerSocket accepting;
    private volatile boolean closing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the caller event loop
     * @param address where it will listen
     * @param limits its bounds
     * @param stopTimeout longest time that {@link #stop} waits for open requests
     * @param handler leads requests to their replies
     * @param clock the monotonic clock, in nanoseconds
     */
    public CallerServer(
            Eventloop loop,
            InetSocketAddress address,
            CallerLimits limits,
            Duration stopTimeout,
            CallerRequestHandler handler,
            LongSupplier clock) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
        this.clock = clock;
        this.refusals = new ConnectionRefuser(handler);
        this.connections = new ConnectionLimiter(limits);
        this.listener = CallerAcceptor.at(loop, address, this::accept);
        this.server =
                HttpServer.builder(loop, this::serve)
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .withServeTimeoutShutdown(stopTimeout)
                        .withHttpErrorFormatter(CallerServer::afterException)
                        .withInspector(
                                new ConnectionInspector(
                                        connection -> connection.setUserData(accepting),
                                        (connection, head) ->
                                                refusals.refuseUnparsableHead(
                                                        socket(connection), head)))
                        .build();
    }

    /** Opens the port. Fails when it can't be opened, for example because it is in use. */
    public CompletableFuture<Void> start() {
        return loop.submit(this::listen);
    }

    /** Tells callers from now on, with each reply, to connect elsewhere. Any thread. */
    public void startConnectionDraining() {
        closing = true;
    }

    /** Takes no new connection, finishes the open requests and closes. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    closing = true;
                    listener.close()
                            .then(() -> server.close())
                            .whenComplete(() -> stopped.complete(null));
                });
        return stopped;
    }

    private void listen() throws IOException {
        server.listen();
        listener.listen();
    }

    private void accept(ITcpSocket raw, InetAddress remote) {
        Optional<RefusalReason> tooMany = connections.register(remote);
        CallerSocket socket = new CallerSocket(loop, raw, () -> connections.unregister(remote));
        if (tooMany.isPresent()) {
            refusals.refuse(socket, remote.getHostAddress(), tooMany.get());
            return;
        }
        socket.onMalformedRequest(
                () ->
                        refusals.refuse(
                                socket, RequestValidator.UNKNOWN_CALLER, RefusalReason.MALFORMED));
        accepting = socket;
        HttpConnections.serve(server, socket, remote);
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        CallerSocket socket = socket(request.getConnection());
        Optional<RefusalReason> fault = RequestValidator.validate(request, limits.bodyBytes());
        if (fault.isPresent()) {
            refusals.refuse(socket, RequestValidator.callerName(request), fault.get());
            return Promise.ofException(new RequestRefusedException());
        }
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        readBody(request, socket, response);
        return response;
    }

    private void readBody(
            HttpRequest request, CallerSocket socket, SettablePromise<HttpResponse> response) {
        String caller = RequestValidator.callerName(request);
        boolean head = request.getMethod() == HttpMethod.HEAD;
        CallerRequest withoutBody = withoutBody(request);
        socket.onMalformedRequest(() -> refusals.refuse(socket, caller, RefusalReason.MALFORMED));
        socket.setReadingBody(true);
        BodyReader.read(
                loop,
                request,
                limits.bodyBytes(),
                body -> {
                    socket.setReadingBody(false);
                    CallerRequest whole = withoutBody.withBody(body, clock.getAsLong());
                    dispatch(whole, head, socket, response);
                },
                reason -> {
                    refusals.refuse(socket, caller, reason);
                    response.trySetException(new RequestRefusedException());
                });
    }

    private void dispatch(
            CallerRequest request,
            boolean head,
            CallerSocket socket,
            SettablePromise<HttpResponse> response) {
        Runnable cancellation =
                handler.handle(
                        request,
                        reply -> {
                            socket.stopWatching();
                            response.trySet(response(reply, head, socket));
                        });
        if (!response.isComplete()) {
            socket.watchForDisconnect(
                    () -> {
                        cancellation.run();
                        response.trySet(HttpResponse.ofCode(CLIENT_CLOSED).build());
                    });
        }
    }

    /**
     * Copies the head of a request. To be called before its body is read: the library returns the
     * buffer that holds both to its pool with the body, and other threads write into it.
     */
    private CallerRequest withoutBody(HttpRequest request) {
        String host = request.getHeader(HttpHeaders.HOST);
        return new CallerRequest(
                request.getMethod().name(),
                request.getPath(),
                request.getPathAndQuery(),
                CallerRequest.hostWithoutPort(host == null ? "" : host),
                HeaderFields.endToEnd(request),
                ByteString.EMPTY,
                request.getRemoteAddress(),
                clock.getAsLong());
    }

    private HttpResponse response(CallerReply reply, boolean head, CallerSocket socket) {
        HttpResponse.Builder response = CallerResponses.of(reply, head);
        if (CallerResponses.omitsContentLength(reply, head)) {
            socket.omitContentLength();
        }
        if (closing) {
            socket.closeAfterReply();
            response.withHeader(HttpHeaders.CONNECTION, "close");
        }
        return response.build();
    }

    /** The reply after a fault in this node; of a refused request it is never written. */
    private static Promise<HttpResponse> afterException(Exception exception) {
        if (!(exception instanceof RequestRefusedException)) {
            logger.atSevere().withCause(exception).log("event=request-failed step=entry peer=self");
        }
        return CallerResponses.of(OutcomeReplies.unknown("entry", "self"), false).toPromise();
    }

    private static CallerSocket socket(HttpServerConnection connection) {
        return (CallerSocket) connection.getUserData();
    }
}
