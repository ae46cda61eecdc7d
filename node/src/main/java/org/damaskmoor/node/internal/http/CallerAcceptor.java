package org.damaskmoor.node.internal.http;

import io.activej.net.AbstractReactiveServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Accepts callers' connections and passes each on. Confined to the caller event loop. */
final class CallerAcceptor extends AbstractReactiveServer {
    private final BiConsumer<ITcpSocket, InetAddress> onConnection;

    private CallerAcceptor(NioReactor loop, BiConsumer<ITcpSocket, InetAddress> onConnection) {
        super(loop);
        this.onConnection = onConnection;
    }

    static CallerAcceptor at(
            NioReactor loop,
            InetSocketAddress address,
            BiConsumer<ITcpSocket, InetAddress> onConnection) {
        return new CallerAcceptor(loop, onConnection).new Builder(address).build();
    }

    @Override
    protected void serve(ITcpSocket socket, InetAddress remote) {
        onConnection.accept(socket, remote);
    }

    private final class Builder extends AbstractReactiveServer.Builder<Builder, CallerAcceptor> {
        Builder(InetSocketAddress address) {
            withListenAddress(address);
        }
    }
}
