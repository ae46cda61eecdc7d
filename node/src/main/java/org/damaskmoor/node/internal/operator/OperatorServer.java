package org.damaskmoor.node.internal.operator;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * gRPC server for operators, on one thread of its own.
 *
 * <pre>{@code
 * OperatorServer server = new OperatorServer(address, Optional.empty(), service);
 * server.start().join();
 * }</pre>
 *
 * <p>Thread-safe. Invariant: calls never block that thread; the service passes them to the event
 * loops that own the data.
 */
public final class OperatorServer {
    private static final int MAXIMUM_MESSAGE_BYTES = 1024 * 1024;
    private static final int MAXIMUM_CALLS_PER_CONNECTION = 64;
    private static final long STOP_TIMEOUT_SECONDS = 2;

    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("operator", true));
    private final Server server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param address address on which operators connect
     * @param security TLS, or empty for plain TCP
     * @param service handles the calls
     */
    public OperatorServer(
            InetSocketAddress address, Optional<SslContext> security, BindableService service) {
        NettyServerBuilder builder =
                NettyServerBuilder.forAddress(address)
                        .channelType(NioServerSocketChannel.class)
                        .bossEventLoopGroup(group)
                        .workerEventLoopGroup(group)
                        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                        .maxConcurrentCallsPerConnection(MAXIMUM_CALLS_PER_CONNECTION)
                        .directExecutor()
                        .addService(service);
        security.ifPresent(builder::sslContext);
        server = builder.build();
    }

    /** Opens the port; fails with the cause, for example a port in use. */
    public CompletableFuture<Void> start() {
        try {
            server.start();
            return CompletableFuture.completedFuture(null);
        } catch (IOException notBound) {
            return CompletableFuture.failedFuture(notBound);
        }
    }

    /** Returns the port that is open; useful when port 0 was requested. */
    public int port() {
        return server.getPort();
    }

    /** Accepts no more calls and closes the port; open calls have two seconds to end. */
    public CompletableFuture<Void> stop() {
        server.shutdown();
        return CompletableFuture.runAsync(this::awaitEnd);
    }

    private void awaitEnd() {
        try {
            if (!server.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
