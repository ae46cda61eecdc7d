package org.damaskmoor.relay.internal.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damaskmoor.core.buffer.BufferBudget;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedCall;

/**
 * A pool of HTTP connections to the upstream on this VM.
 *
 * <p>Confined to the event loop. Invariants: a connection carries one call at a time, and no two
 * calls with the same request id; a connection is not reused when the upstream may already have
 * closed it as idle; a non-idempotent call gets a new or recently used connection, because the
 * upstream may close an idle one while the call is being sent.
 */
final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

    /**
     * Less than {@link #MAX_READ_BYTES}, because the decoder bounds the empty lines before a status
     * line by this length within one read.
     */
    private static final int MAX_STATUS_LINE_BYTES = 3 * 1024;

    private static final HttpDecoderConfig DECODING =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                    .setMaxHeaderSize(64 * 1024)
                    .setMaxChunkSize(64 * 1024);

    /** Bytes of incomplete answers that are buffered together; a quarter of a 96 MB heap. */
    private static final long MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

    /** Most answers don't fill a read of this size, so that they end without a further one. */
    private static final int MIN_READ_BYTES = 2 * 1024;

    /** Bytes that a connection reads in one turn of the event loop, before others have theirs. */
    private static final int MAX_READ_BYTES = 4 * 1024;

    /** Timeout of a health check; short, because calls may wait for its result. */
    private static final long CHECK_TIMEOUT_MILLISECONDS = 30;

    /**
     * Idle time after which an upstream may close a connection for which it announced no timeout.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLISECONDS = 10_000;

    /** A connection is not reused within this time before the upstream may close it. */
    private static final long KEEP_ALIVE_MARGIN_MILLISECONDS = 1500;

    /** Longest idle time of a connection that is reused for a non-idempotent call. */
    private static final long RECENTLY_USED_MILLISECONDS = 1000;

    private final InetSocketAddress address;
    private final Timers timers;
    private final EventLog log;
    private final Bootstrap bootstrap;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    private final CarriedRequestIds<UpstreamConnection> carriedIds = new CarriedRequestIds<>();
    private final long maxAnswerBytes;
    private final BufferBudget<UpstreamConnection> budget = new BufferBudget<>(MAX_BUFFERED_BYTES);

    UpstreamConnectionPool(
            EventLoop loop,
            InetSocketAddress address,
            long maxAnswerBytes,
            Timers timers,
            EventLog log) {
        this.address = address;
        this.maxAnswerBytes = maxAnswerBytes;
        this.timers = timers;
        this.log = log;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(1))
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initialize(channel);
                                    }
                                });
    }

    /** A call that was sent and can be abandoned. */
    interface InFlightCall {
        /** Closes the connection of the call, so that the upstream drops it. */
        void abandon();
    }

    /**
     * Sends a call. The outcome is reported once, or never if the call is abandoned.
     *
     * @param request the request of the call
     */
    InFlightCall send(
            ForwardedCall call,
            FullHttpRequest request,
            long deadlineAt,
            Consumer<UpstreamOutcome> outcome) {
        PendingSend pending = new PendingSend(call, request, deadlineAt, outcome);
        UpstreamConnection reused = takeIdle(call);
        if (reused != null) {
            pending.on(reused);
        } else {
            closeLastIfCarried(call.getCallerRequestId());
            bootstrap
                    .connect(address)
                    .addListener((ChannelFuture connected) -> pending.onConnected(connected));
        }
        return pending;
    }

    /** Sends a health check; the report is empty if no answer arrives in time. */
    void checkHealth(String path, Consumer<Optional<UpstreamReport>> onReport) {
        HealthCheck check = new HealthCheck(path, onReport);
        UpstreamConnection reused = takeIdle(connection -> true);
        if (reused != null) {
            check.on(reused);
        } else {
            bootstrap
                    .connect(address)
                    .addListener((ChannelFuture connected) -> check.onConnected(connected));
        }
    }

    /** Opens a connection to find out whether the upstream accepts one. */
    void probeConnection(Consumer<Boolean> onResult) {
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                release(connection(connected.channel()));
                            }
                            onResult.accept(connected.isSuccess());
                        });
    }

    /** Closes the idle connections. */
    void closeIdle() {
        for (UpstreamConnection connection : List.copyOf(idle)) {
            connection.close();
        }
        idle.clear();
    }

    void release(UpstreamConnection connection) {
        if (carriedIds.isExhausted(connection)) {
            connection.close();
            return;
        }
        connection.markIdle(timers.now());
        idle.addLast(connection);
    }

    void remove(UpstreamConnection connection) {
        idle.remove(connection);
        carriedIds.remove(connection);
    }

    private UpstreamConnection takeIdle(ForwardedCall call) {
        long usedSince = timers.now() - RECENTLY_USED_MILLISECONDS;
        return takeIdle(
                connection ->
                        !carriedIds.contains(connection, call.getCallerRequestId())
                                && (!call.getNonIdempotent()
                                        || connection.idleSince() >= usedSince));
    }

    /** Takes the most recently used of the connections that may be reused. */
    private UpstreamConnection takeIdle(Predicate<UpstreamConnection> mayReuse) {
        closeExpired(timers.now());
        idle.removeIf(connection -> !connection.isUsable());
        Iterator<UpstreamConnection> latestFirst = idle.descendingIterator();
        while (latestFirst.hasNext()) {
            UpstreamConnection connection = latestFirst.next();
            if (mayReuse.test(connection)) {
                latestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /**
     * Closes the most recently used connection if the id keeps it from being reused. The one that
     * is opened instead replaces it, so that an id that comes often opens no more connections than
     * others.
     */
    private void closeLastIfCarried(String requestId) {
        UpstreamConnection last = idle.peekLast();
        if (last != null && carriedIds.contains(last, requestId)) {
            idle.removeLast();
            last.close();
        }
    }

    private void closeExpired(long now) {
        for (UpstreamConnection connection : List.copyOf(idle)) {
            long reusableMilliseconds =
                    connection.keepAliveMilliseconds() - KEEP_ALIVE_MARGIN_MILLISECONDS;
            if (now - connection.idleSince() >= reusableMilliseconds) {
                idle.remove(connection);
                connection.close();
            }
        }
    }

    private void initialize(Channel channel) {
        UpstreamConnection connection =
                new UpstreamConnection(
                        this,
                        DECODING,
                        maxAnswerBytes,
                        budget,
                        log,
                        DEFAULT_KEEP_ALIVE_MILLISECONDS);
        channel.pipeline().addLast(connection.decoder(), new HttpRequestEncoder(), connection);
    }

    private static UpstreamConnection connection(Channel channel) {
        return channel.pipeline().get(UpstreamConnection.class);
    }

    private final class HealthCheck {
        private final String path;
        private final Consumer<Optional<UpstreamReport>> onReport;
        private boolean ended;

        HealthCheck(String path, Consumer<Optional<UpstreamReport>> onReport) {
            this.path = path;
            this.onReport = onReport;
        }

        void onConnected(ChannelFuture connected) {
            if (connected.isSuccess()) {
                on(connection(connected.channel()));
            } else {
                end(Optional.empty());
            }
        }

        void on(UpstreamConnection connection) {
            connection.checkHealth(UpstreamRequestFactory.healthCheck(path, address), this::end);
            timers.schedule(
                    CHECK_TIMEOUT_MILLISECONDS,
                    () -> {
                        if (!ended) {
                            connection.abandon();
                            end(Optional.empty());
                        }
                    });
        }

        private void end(Optional<UpstreamReport> report) {
            if (!ended) {
                ended = true;
                onReport.accept(report);
            }
        }
    }

    private final class PendingSend implements InFlightCall {
        private final ForwardedCall call;
        private final FullHttpRequest request;
        private final long deadlineAt;
        private final Consumer<UpstreamOutcome> outcome;
        private UpstreamConnection connection;
        private boolean abandoned;

        PendingSend(
                ForwardedCall call,
                FullHttpRequest request,
                long deadlineAt,
                Consumer<UpstreamOutcome> outcome) {
            this.call = call;
            this.request = request;
            this.deadlineAt = deadlineAt;
            this.outcome = outcome;
        }

        void onConnected(ChannelFuture connected) {
            if (!connected.isSuccess()) {
                if (!abandoned) {
                    outcome.accept(
                            new UpstreamOutcome.NotRun(
                                    UpstreamOutcome.Cause.UNREACHABLE, UpstreamReport.NONE));
                }
            } else if (abandoned) {
                release(connection(connected.channel()));
            } else {
                on(connection(connected.channel()));
            }
        }

        void on(UpstreamConnection opened) {
            connection = opened;
            carriedIds.add(opened, call.getCallerRequestId());
            long remaining = Math.max(1, deadlineAt - timers.now());
            UpstreamRequestFactory.setRemaining(request, remaining);
            opened.send(
                    call.getCallerRequestId(),
                    request,
                    ended -> {
                        connection = null;
                        if (!abandoned) {
                            outcome.accept(ended);
                        }
                    });
        }

        @Override
        public void abandon() {
            abandoned = true;
            if (connection != null) {
                connection.abandon();
            }
        }
    }
}
