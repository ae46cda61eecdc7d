package org.damaskmoor.relay.internal.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedCall;

/**
 * Connections to the upstream on this VM.
 *
 * <p>Confined to the event loop. Invariants: a connection carries one call at a time; one that has
 * been idle for as long as the upstream may keep it is not used again; a call that may not be
 * repeated gets a connection that has just been used or is new, because the upstream may close an
 * idle one at the moment when the call is sent.
 */
final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;
    private static final int MOST_HEADER_BYTES = 64 * 1024;
    private static final int MOST_LINE_BYTES = 16 * 1024;
    private static final int CHUNK_BYTES = 64 * 1024;

    /** Longest wait for a health check, which a call may be waiting for. */
    private static final long CHECK_TIMEOUT_MILLISECONDS = 30;

    /** Idle time after which an upstream may close a connection that told no time of its own. */
    private static final long USUAL_KEPT_MILLISECONDS = 10_000;

    /** Not used so shortly before the upstream closes it. */
    private static final long KEPT_MARGIN_MILLISECONDS = 1500;

    /** Idle time within which a connection is used for a call that may not be repeated. */
    private static final long JUST_USED_MILLISECONDS = 1000;

    private final InetSocketAddress address;
    private final Timers timers;
    private final Bootstrap bootstrap;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    private final Set<UpstreamConnection> all = new HashSet<>();

    UpstreamConnectionPool(EventLoop loop, InetSocketAddress address, Timers timers) {
        this.address = address;
        this.timers = timers;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initialize(channel);
                                    }
                                });
    }

    /** A call on its way; lets it be given up. */
    interface Sent {
        /** Closes its connection, so that the upstream drops it. */
        void abandon();
    }

    /** Sends a call; the outcome comes once, and not at all after it was given up. */
    Sent send(
            ForwardedCall call,
            UpstreamId upstream,
            long deadlineAt,
            Consumer<UpstreamOutcome> outcome) {
        PendingSend pending = new PendingSend(call, upstream, deadlineAt, outcome);
        UpstreamConnection kept = takeIdle(call.getNonIdempotent());
        if (kept != null) {
            pending.on(kept);
        } else {
            bootstrap
                    .connect(address)
                    .addListener((ChannelFuture connected) -> pending.onConnected(connected));
        }
        return pending;
    }

    /** Asks the upstream how it is; empty when it does not tell in time. */
    void checkHealth(String path, Consumer<Optional<UpstreamLoad>> told) {
        HealthCheck check = new HealthCheck(path, told);
        UpstreamConnection kept = takeIdle(false);
        if (kept != null) {
            check.on(kept);
        } else {
            bootstrap
                    .connect(address)
                    .addListener((ChannelFuture connected) -> check.onConnected(connected));
        }
    }

    /** Opens a connection only to see whether the upstream takes one. */
    void probeConnection(Consumer<Boolean> reachable) {
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                release(connection(connected.channel()));
                            }
                            reachable.accept(connected.isSuccess());
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
        connection.markIdle(timers.now());
        idle.addLast(connection);
    }

    void remove(UpstreamConnection connection) {
        idle.remove(connection);
        all.remove(connection);
    }

    private UpstreamConnection takeIdle(boolean nonIdempotent) {
        long now = timers.now();
        dropOld(now);
        UpstreamConnection last = idle.peekLast();
        boolean justUsed = last != null && now - last.idleSince() <= JUST_USED_MILLISECONDS;
        if (last == null || (nonIdempotent && !justUsed)) {
            return null;
        }
        idle.removeLast();
        return last.isUsable() ? last : takeIdle(nonIdempotent);
    }

    private void dropOld(long now) {
        Iterator<UpstreamConnection> connections = List.copyOf(idle).iterator();
        while (connections.hasNext()) {
            UpstreamConnection connection = connections.next();
            long kept = connection.keepAliveMilliseconds() - KEPT_MARGIN_MILLISECONDS;
            if (now - connection.idleSince() < kept) {
                return;
            }
            idle.remove(connection);
            connection.close();
        }
    }

    private void initialize(Channel channel) {
        UpstreamConnection connection = new UpstreamConnection(this, USUAL_KEPT_MILLISECONDS);
        all.add(connection);
        channel.pipeline()
                .addLast(
                        new HttpClientCodec(
                                MOST_LINE_BYTES, MOST_HEADER_BYTES, CHUNK_BYTES, false, false),
                        connection);
    }

    private static UpstreamConnection connection(Channel channel) {
        return channel.pipeline().get(UpstreamConnection.class);
    }

    private final class HealthCheck {
        private final String path;
        private final Consumer<Optional<UpstreamLoad>> told;
        private boolean ended;

        HealthCheck(String path, Consumer<Optional<UpstreamLoad>> told) {
            this.path = path;
            this.told = told;
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

        private void end(Optional<UpstreamLoad> load) {
            if (!ended) {
                ended = true;
                told.accept(load);
            }
        }
    }

    private final class PendingSend implements Sent {
        private final ForwardedCall call;
        private final UpstreamId upstream;
        private final long deadlineAt;
        private final Consumer<UpstreamOutcome> outcome;
        private UpstreamConnection connection;
        private boolean abandoned;

        PendingSend(
                ForwardedCall call,
                UpstreamId upstream,
                long deadlineAt,
                Consumer<UpstreamOutcome> outcome) {
            this.call = call;
            this.upstream = upstream;
            this.deadlineAt = deadlineAt;
            this.outcome = outcome;
        }

        void onConnected(ChannelFuture connected) {
            if (!connected.isSuccess()) {
                if (!abandoned) {
                    outcome.accept(
                            new UpstreamOutcome.NotRun(
                                    UpstreamOutcome.Cause.UNREACHABLE, Optional.empty()));
                }
            } else if (abandoned) {
                release(connection(connected.channel()));
            } else {
                on(connection(connected.channel()));
            }
        }

        void on(UpstreamConnection chosen) {
            connection = chosen;
            long remaining = Math.max(1, deadlineAt - timers.now());
            FullHttpRequest request = UpstreamRequestFactory.of(call, upstream, remaining);
            chosen.send(
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
