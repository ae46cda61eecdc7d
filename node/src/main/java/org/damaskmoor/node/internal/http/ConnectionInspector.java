package org.damaskmoor.node.internal.http;

import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Tells what the HTTP library does with connections. Confined to the caller event loop. */
final class ConnectionInspector extends HttpServer.JmxInspector {
    private final Consumer<HttpServerConnection> onAccept;
    private final BiConsumer<HttpServerConnection, byte[]> onUnreadable;

    ConnectionInspector(
            Consumer<HttpServerConnection> onAccept,
            BiConsumer<HttpServerConnection, byte[]> onUnreadable) {
        this.onAccept = onAccept;
        this.onUnreadable = onUnreadable;
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        super.onAccept(connection);
        onAccept.accept(connection);
    }

    @Override
    public void onMalformedHttpRequest(
            HttpServerConnection connection, MalformedHttpException exception, byte[] received) {
        super.onMalformedHttpRequest(connection, exception, received);
        onUnreadable.accept(connection, received);
    }
}
