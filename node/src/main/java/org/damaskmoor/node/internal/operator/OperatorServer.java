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
 * The port for operators: gRPC on one thread of its own.
 *
 * <pre>{@code
 * OperatorServer server = new OperatorServer(address, Optional.empty(), service);
 * server.start().join();
 * }</pre>
 *
 * <p>Thread-safe. Invariant: calls never block that thread; the service hands them to the duties
 * that they concern.
 */
public final class OperatorServer {
    private static final int MESSAGE_BYTES = 1024 * 1024;
    private static final int CALLS_PER_CONNECTION = 64;
    private static final long STOP_SECONDS = 2;

    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("operator", true));
    private final Server server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param address where operators connect to
     * @param security TLS, or empty for plain TCP
     * @param service answers the calls
     */
    public OperatorServer(
            InetSocketAddress address, Optional<SslContext> security, BindableService service) {
        NettyServerBuilder builder =
                NettyServerBuilder.forAddress(address)
                        .channelType(NioServerSocketChannel.class)
                        .bossEventLoopGroup(group)
                        .workerEventLoopGroup(group)
                        .maxInboundMessageSize(MESSAGE_BYTES)
                        .maxConcurrentCallsPerConnection(CALLS_PER_CONNECTION)
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

    /** The port that is open; useful when port 0 was asked for. */
    public int port() {
        return server.getPort();
    }

    /** Takes no more calls and closes the port; open calls have two seconds to end. */
    public CompletableFuture<Void> stop() {
        server.shutdown();
        return CompletableFuture.runAsync(this::awaitEnd);
    }

    private void awaitEnd() {
        try {
            if (!server.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
