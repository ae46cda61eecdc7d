package org.damaskmoor.relay.internal.log;

import io.netty.channel.ChannelHandlerContext;
import java.io.IOException;

/**
 * Logs why a connection was closed after an exception. Confined to the event loop.
 *
 * <p>An exception in a handler concerns only its connection; the process goes on.
 */
public final class ConnectionFailureLog {
    private final EventLog log;
    private final String step;

    /**
     * Creates a log for connections of one kind.
     *
     * @param step what the connections are for
     */
    public ConnectionFailureLog(EventLog log, String step) {
        this.log = log;
        this.step = step;
    }

    /** Logs why the answer to a request can't be sent; the connection stays open. */
    public void logUnsendable(ChannelHandlerContext context, String request, Throwable cause) {
        log.event("answer-unsendable")
                .with("step", step)
                .with("peer", context.channel().remoteAddress())
                .with("request", request)
                .with("cause", cause)
                .write();
    }

    /** Logs that nothing more is read from a caller until earlier requests are answered. */
    public void logReadingPaused(ChannelHandlerContext context, int requests, long bytes) {
        log.event("reading-paused")
                .with("step", step)
                .with("peer", context.channel().remoteAddress())
                .with("requests", requests)
                .with("bytes", bytes)
                .write();
    }

    /** Logs the cause and closes the connection. */
    public void close(ChannelHandlerContext context, Throwable cause) {
        String event = cause instanceof IOException ? "connection-lost" : "connection-failed";
        log.event(event)
                .with("step", step)
                .with("peer", context.channel().remoteAddress())
                .with("cause", cause)
                .write();
        context.close();
    }
}
