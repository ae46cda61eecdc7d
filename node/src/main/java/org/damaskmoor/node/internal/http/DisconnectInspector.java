package org.damaskmoor.node.internal.http;

import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import java.util.function.Consumer;

/** Tells when a caller's connection is closed. Confined to the caller event loop. */
final class DisconnectInspector extends HttpServer.JmxInspector {
    private final Consumer<HttpServerConnection> onDisconnect;

    DisconnectInspector(Consumer<HttpServerConnection> onDisconnect) {
        this.onDisconnect = onDisconnect;
    }

    @Override
    public void onDisconnect(HttpServerConnection connection) {
        super.onDisconnect(connection);
        onDisconnect.accept(connection);
    }
}
