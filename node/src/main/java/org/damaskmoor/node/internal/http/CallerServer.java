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
 * The HTTP server of the caller port: reads complete requests, passes them to the handler and
 * writes the responses.
 *
 * <p>Confined to the caller event loop, except {@link #start}, {@link #startConnectionDraining} and
 * {@link #stop}. Invariants: a connection serves one request at a time, so that a response reaches
 * only its own request; a request that can't be read is refused and its connection closed, so that
 * the rest of its bytes isn't read as another request.
 */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);
    private static final int CLIENT_CLOSED_REQUEST = 499;

    private final Eventloop loop;
    private final CallerLimits limits;
    private final CallerRequestHandler handler;
    private final LongSupplier clock;
    private final CallerAcceptor acceptor;
    private final HttpServer server;
    private final ConnectionRefuser refuser;
    private final ConnectionLimiter connections;
    private CallerSocket acceptedSocket;
    private volatile boolean draining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the caller event loop
     * @param address the listen address
     * @param limits limits of the port
     * @param stopTimeout longest time that {@link #stop} waits for open requests
     * @param handler handles the requests
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
        this.refuser = new ConnectionRefuser(handler);
        this.connections = new ConnectionLimiter(limits);
        this.acceptor = CallerAcceptor.at(loop, address, this::accept);
        this.server =
                HttpServer.builder(loop, this::serve)
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .withServeTimeoutShutdown(stopTimeout)
                        .withHttpErrorFormatter(CallerServer::errorResponse)
                        .withInspector(
                                new ConnectionInspector(
                                        connection -> connection.setUserData(acceptedSocket),
                                        (connection, head) ->
                                                refuser.refuseUnparsableHead(
                                                        socket(connection), head)))
                        .build();
    }

    /** Opens the port. Fails if that is impossible, for example because the port is in use. */
    public CompletableFuture<Void> start() {
        return loop.submit(this::listen);
    }

    /** Asks callers in every response from now on to close their connection. Any thread. */
    public void startConnectionDraining() {
        draining = true;
    }

    /** Stops accepting connections, finishes the open requests and closes. Any thread. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    draining = true;
                    acceptor.close()
                            .then(() -> server.close())
                            .whenComplete(() -> stopped.complete(null));
                });
        return stopped;
    }

    private void listen() throws IOException {
        server.listen();
        acceptor.listen();
    }

    private void accept(ITcpSocket tcpSocket, InetAddress remote) {
        Optional<RefusalReason> limitExceeded = connections.register(remote);
        CallerSocket socket =
                new CallerSocket(loop, tcpSocket, () -> connections.unregister(remote));
        if (limitExceeded.isPresent()) {
            refuser.refuse(socket, remote.getHostAddress(), limitExceeded.get());
            return;
        }
        socket.onMalformedRequest(
                () ->
                        refuser.refuse(
                                socket, RequestValidator.UNKNOWN_CALLER, RefusalReason.MALFORMED));
        acceptedSocket = socket;
        HttpConnections.serve(server, socket, remote);
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        CallerSocket socket = socket(request.getConnection());
        Optional<RefusalReason> refusal = RequestValidator.validate(request, limits.bodyBytes());
        if (refusal.isPresent()) {
            refuser.refuse(socket, RequestValidator.callerName(request), refusal.get());
            return Promise.ofException(new RequestRefusedException());
        }
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        readBody(request, socket, response);
        return response;
    }

    private void readBody(
            HttpRequest request, CallerSocket socket, SettablePromise<HttpResponse> response) {
        String caller = RequestValidator.callerName(request);
        boolean isHead = request.getMethod() == HttpMethod.HEAD;
        CallerRequest withoutBody = withoutBody(request);
        socket.onMalformedRequest(() -> refuser.refuse(socket, caller, RefusalReason.MALFORMED));
        socket.setReadingBody(true);
        BodyReader.read(
                loop,
                request,
                limits.bodyBytes(),
                body -> {
                    socket.setReadingBody(false);
                    CallerRequest complete = withoutBody.withBody(body, clock.getAsLong());
                    dispatch(complete, isHead, socket, response);
                },
                reason -> {
                    refuser.refuse(socket, caller, reason);
                    response.trySetException(new RequestRefusedException());
                });
    }

    private void dispatch(
            CallerRequest request,
            boolean isHead,
            CallerSocket socket,
            SettablePromise<HttpResponse> response) {
        Runnable cancellation =
                handler.handle(
                        request,
                        reply -> {
                            socket.stopWatching();
                            response.trySet(response(reply, isHead, socket));
                        });
        if (!response.isComplete()) {
            socket.watchForDisconnect(
                    () -> {
                        cancellation.run();
                        response.trySet(HttpResponse.ofCode(CLIENT_CLOSED_REQUEST).build());
                    });
        }
    }

    /**
     * Copies the head of a request. Must be called before the body is read: with the body the
     * library returns the buffer that contains both to its pool, and other threads overwrite it.
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

    private HttpResponse response(CallerReply reply, boolean isHead, CallerSocket socket) {
        HttpResponse.Builder response = CallerResponses.of(reply, isHead);
        if (CallerResponses.omitsContentLength(reply, isHead)) {
            socket.omitContentLength();
        }
        if (draining) {
            socket.closeAfterReply();
            response.withHeader(HttpHeaders.CONNECTION, "close");
        }
        return response.build();
    }

    /**
     * The response after an exception in this node. For a refused request it is never written,
     * because {@link ConnectionRefuser} has taken the connection over.
     */
    private static Promise<HttpResponse> errorResponse(Exception exception) {
        if (!(exception instanceof RequestRefusedException)) {
            logger.atSevere().withCause(exception).log("event=request-failed step=entry peer=self");
        }
        return CallerResponses.of(OutcomeReplies.unknown("entry", "self"), false).toPromise();
    }

    private static CallerSocket socket(HttpServerConnection connection) {
        return (CallerSocket) connection.getUserData();
    }
}
