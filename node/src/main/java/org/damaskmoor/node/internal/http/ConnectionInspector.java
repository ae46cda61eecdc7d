package org.damaskmoor.node.internal.http;

import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Reports accepted connections and unparsable requests of the HTTP library. Confined to the caller
 * event loop.
 */
final class ConnectionInspector extends HttpServer.JmxInspector {
    private final Consumer<HttpServerConnection> onAccept;
    private final BiConsumer<HttpServerConnection, byte[]> onUnparsable;

    ConnectionInspector(
            Consumer<HttpServerConnection> onAccept,
            BiConsumer<HttpServerConnection, byte[]> onUnparsable) {
        this.onAccept = onAccept;
        this.onUnparsable = onUnparsable;
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
        onUnparsable.accept(connection, received);
    }
}
