package org.damaskmoor.relay.internal.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.net.PortBinder;
import org.damaskmoor.relay.internal.time.Timers;

/** The HTTP server for callers. Confined to the event loop. */
public final class CallerServer {
    /** How often connections are checked for those that are idle or slow. */
    private static final long TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;

    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Timers timers;
    private final Supplier<CallerLimits> limits;
    private final CallerHandler handler;
    private final IntConsumer onMalformed;
    private final ConnectionFailureLog failureLog;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel serverChannel;
    private boolean closing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param onMalformed receives the reply status of each request that could not be read
     */
    public CallerServer(
            EventLoop loop,
            InetSocketAddress address,
            Timers timers,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            IntConsumer onMalformed,
            ConnectionFailureLog failureLog) {
        this.loop = loop;
        this.address = address;
        this.timers = timers;
        this.limits = limits;
        this.handler = handler;
        this.onMalformed = onMalformed;
        this.failureLog = failureLog;
    }

    /** Opens the port. */
    public CompletableFuture<Void> start() {
        timers.repeat(TIMEOUT_CHECK_INTERVAL_MILLISECONDS, this::checkTimeouts);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initialize(channel);
                                    }
                                });
        return PortBinder.bind(bootstrap, address, channel -> serverChannel = channel);
    }

    private void initialize(Channel channel) {
        int headerBytes = limits.get().headerBytes();
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(headerBytes)
                        .setMaxHeaderSize(headerBytes);
        channel.pipeline()
                .addLast(
                        new RequestDecoder(config),
                        new HttpResponseEncoder(),
                        new CallerConnection(this));
    }

    /** Closes each connection after its next reply, so that callers connect elsewhere. */
    public void closeAfterReplies() {
        closing = true;
    }

    /** Whether no request is being read or served. */
    public boolean isIdle() {
        return connections.stream().noneMatch(CallerConnection::isBusy);
    }

    /** Whether some callers have not yet taken their replies. */
    public boolean hasUnwrittenReplies() {
        return connections.stream().anyMatch(CallerConnection::hasUnwrittenReplies);
    }

    /** Closes the port and all connections. */
    public void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(connections).forEach(CallerConnection::close);
    }

    private void checkTimeouts() {
        long now = timers.now();
        CallerLimits inForce = limits.get();
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.checkTimeouts(now, inForce);
        }
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    CallerHandler handler() {
        return handler;
    }

    ConnectionFailureLog failureLog() {
        return failureLog;
    }

    CallerLimits limits() {
        return limits.get();
    }

    void countMalformed(int status) {
        onMalformed.accept(status);
    }

    boolean isClosing() {
        return closing;
    }

    long now() {
        return timers.now();
    }

    void execute(Runnable task) {
        timers.execute(task);
    }
}
