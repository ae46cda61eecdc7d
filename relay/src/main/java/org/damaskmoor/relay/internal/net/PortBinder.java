package org.damaskmoor.relay.internal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Binds server sockets. Thread-safe: pure functions. */
public final class PortBinder {
    private PortBinder() {}

    /**
     * Binds a port; fails with the address and the cause if it can't be bound.
     *
     * @param opened receives the listening channel, on the event loop
     */
    public static CompletableFuture<Void> bind(
            ServerBootstrap bootstrap, InetSocketAddress address, Consumer<Channel> opened) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        bootstrap
                .bind(address)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (bound.isSuccess()) {
                                opened.accept(bound.channel());
                                started.complete(null);
                            } else {
                                started.completeExceptionally(
                                        new IOException(
                                                "The address "
                                                        + address
                                                        + " can't be bound; is the port in use?",
                                                bound.cause()));
                            }
                        });
        return started;
    }
}
