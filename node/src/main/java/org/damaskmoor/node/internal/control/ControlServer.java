package org.damaskmoor.node.internal.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.damaskmoor.node.internal.metrics.MetricsFormatter;
import org.damaskmoor.node.internal.target.Announcement;

/**
 * HTTP server on the loopback address for this node's upstream and for operators: announcements,
 * health, readiness, metrics, drain.
 *
 * <p>Confined to the control event loop, except {@link #start} and {@link #stop}.
 */
public final class ControlServer {
    private static final int MAXIMUM_BODY_BYTES = 16 * 1024;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final Eventloop loop;
    private final Consumer<Announcement> announcements;
    private final long leaseMilliseconds;
    private final BooleanSupplier ready;
    private final Runnable drain;
    private final MetricsFormatter metrics;
    private final HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the control event loop
     * @param port the loopback port
     * @param leaseMilliseconds time within which an upstream must renew its announcement; returned
     *     to it
     * @param announcements receives the upstream's announcements
     * @param ready whether this node accepts callers
     * @param drain starts to drain the upstream
     * @param metrics formats the metrics
     */
    public ControlServer(
            Eventloop loop,
            int port,
            long leaseMilliseconds,
            Consumer<Announcement> announcements,
            BooleanSupplier ready,
            Runnable drain,
            MetricsFormatter metrics) {
        this.loop = loop;
        this.leaseMilliseconds = leaseMilliseconds;
        this.announcements = announcements;
        this.ready = ready;
        this.drain = drain;
        this.metrics = metrics;
        this.server =
                HttpServer.builder(loop, routes())
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                        .build();
    }

    /** Opens the port. */
    public CompletableFuture<Void> start() {
        return loop.submit(server::listen);
    }

    /** Closes the port. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(() -> server.close().whenComplete(() -> stopped.complete(null)));
        return stopped;
    }

    private RoutingServlet routes() {
        return RoutingServlet.builder(loop)
                .with(HttpMethod.POST, "/announce", this::announce)
                .with(HttpMethod.GET, "/health", request -> text(OK, "healthy\n"))
                .with(HttpMethod.GET, "/ready", request -> readiness())
                .with(HttpMethod.GET, "/metrics", request -> text(OK, metrics.toPrometheusText()))
                .with(HttpMethod.GET, "/metrics.json", request -> json(OK, metrics.toJson()))
                .with(HttpMethod.POST, "/drain", request -> startDrain())
                .build();
    }

    private Promise<HttpResponse> announce(HttpRequest request) {
        return request.loadBody(MAXIMUM_BODY_BYTES)
                .then(body -> announce(body.getString(StandardCharsets.UTF_8)));
    }

    private Promise<HttpResponse> announce(String body) {
        try {
            announcements.accept(AnnouncementParser.parse(JsonParser.parseString(body)));
        } catch (InvalidAnnouncementException | JsonParseException unusable) {
            return json(BAD_REQUEST, problem(String.valueOf(unusable.getMessage())));
        }
        JsonObject answer = new JsonObject();
        answer.addProperty("lease_milliseconds", leaseMilliseconds);
        return json(OK, answer.toString());
    }

    private Promise<HttpResponse> readiness() {
        return ready.getAsBoolean() ? text(OK, "ready\n") : text(UNAVAILABLE, "not ready\n");
    }

    private Promise<HttpResponse> startDrain() {
        drain.run();
        return text(ACCEPTED, "draining\n");
    }

    private static String problem(String detail) {
        JsonObject problem = new JsonObject();
        problem.addProperty("title", "Announcement not understood");
        problem.addProperty("status", BAD_REQUEST);
        problem.addProperty("detail", detail);
        return problem.toString();
    }

    private static Promise<HttpResponse> text(int status, String body) {
        return HttpResponse.ofCode(status).withPlainText(body).toPromise();
    }

    private static Promise<HttpResponse> json(int status, String body) {
        return HttpResponse.ofCode(status)
                .withHeader(
                        HttpHeaders.CONTENT_TYPE,
                        status == OK ? "application/json" : "application/problem+json")
                .withBody(body)
                .toPromise();
    }
}
