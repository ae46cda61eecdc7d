package org.damaskmoor.bench.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;

/**
 * An HTTP server with one event loop on its own thread, bound to the loopback address.
 *
 * <p>Invariants: all servlet calls and all tasks submitted to {@link #eventLoop()} run on that
 * thread. The methods of this class may be called from any other thread.
 */
public final class EventLoopServer implements AutoCloseable {
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(60);

    private final Eventloop eventLoop;
    private final HttpServer server;
    private final Thread thread;

    /**
     * Binds the port and starts serving.
     *
     * @param port the port; 0 for any free port
     * @param servlet creates the servlet for the event loop that runs it
     * @throws IOException if the port cannot be bound
     */
    public EventLoopServer(String name, int port, Function<Eventloop, AsyncServlet> servlet)
            throws IOException {
        eventLoop = Eventloop.builder().withThreadName(name).build();
        eventLoop.keepAlive(true);
        server =
                HttpServer.builder(eventLoop, servlet.apply(eventLoop))
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .withHttpErrorFormatter(EventLoopServer::format)
                        .build();
        thread = new Thread(eventLoop, name);
        thread.setDaemon(true);
        thread.start();
        listen();
    }

    private void listen() throws IOException {
        try {
            eventLoop.submit(server::listen).get();
        } catch (ExecutionException e) {
            throw new IOException("listen failed: " + e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while opening the port", e);
        }
    }

    private static Promise<HttpResponse> format(Exception cause) {
        if (cause instanceof NoAnswerException) {
            return Promise.ofException(cause);
        }
        int status = cause instanceof IllegalArgumentException ? 400 : 500;
        return Promise.of(Reply.of(status, String.valueOf(cause.getMessage())).toResponse());
    }

    /** Returns the event loop that runs the servlet. */
    public Eventloop eventLoop() {
        return eventLoop;
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return server.getBoundAddresses().get(0).getPort();
    }

    /** Waits until the server is closed. */
    public void join() throws InterruptedException {
        thread.join();
    }

    @Override
    public void close() {
        eventLoop.execute(eventLoop::breakEventloop);
        eventLoop.execute(server::close);
        eventLoop.keepAlive(false);
    }
}
