package org.damaskmoor.relay.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.LinkPing;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * The entry's end of a link over TCP: one connection at a time, opened again when it was lost.
 *
 * <p>A connection that is silent while an outcome is awaited is asked for a sign of life, and given
 * up when none comes: connections can go silent for good while new ones work.
 *
 * <p>Confined to the event loop. Invariants: each connection has a greater number than the one
 * before; no call is written before the target has said who it is; calls that were never written
 * are told as unsent, calls that were written on a lost connection as lost.
 */
final class OutgoingLink implements CallLink {
    /** Silence after which a sign of life is asked for; several round trips between regions. */
    private static final long PING_AFTER_MILLISECONDS = 300;

    /** Silence after a ping at which the connection counts as lost. */
    private static final long LOST_AFTER_MILLISECONDS = 500;

    /** How often awaited connections are looked at. */
    private static final long WATCH_MILLISECONDS = 100;

    /** Pause before the next connection; doubles with each failure up to the greatest. */
    private static final long LEAST_PAUSE_MILLISECONDS = 100;

    private static final long GREATEST_PAUSE_MILLISECONDS = 4000;

    /** Longest time for the target to say who it is. */
    private static final long GREETING_TIMEOUT_MILLISECONDS = 800;

    /** Calls that wait for a connection. */
    private static final int MOST_WAITING_CALLS = 64;

    private final NodeId peer;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Supplier<LinkFrame> hellos;
    private final Timers timers;
    private final LinkListener listener;
    private final List<LinkFrame> waiting = new ArrayList<>();
    private final Set<Long> awaited = new HashSet<>();
    private Channel channel;
    private boolean connecting;
    private boolean greeted;
    private boolean closed;
    private boolean watching;
    private long targetIncarnation;
    private long heardAt;
    private long pingedAt;
    private long retryAt;
    private long pause = LEAST_PAUSE_MILLISECONDS;

    OutgoingLink(
            NodeId peer,
            InetSocketAddress address,
            Bootstrap bootstrap,
            Supplier<LinkFrame> hellos,
            Timers timers,
            LinkListener listener) {
        this.peer = peer;
        this.address = address;
        this.bootstrap = bootstrap;
        this.hellos = hellos;
        this.timers = timers;
        this.listener = listener;
    }

    @Override
    public boolean isUp() {
        return channel != null && greeted;
    }

    @Override
    public long targetIncarnation() {
        return targetIncarnation;
    }

    @Override
    public void open() {
        if (channel != null || connecting || closed || timers.now() < retryAt) {
            return;
        }
        connecting = true;
        bootstrap
                .clone()
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel created) {
                                FrameCodec.add(created, new Handler());
                            }
                        })
                .connect(address)
                .addListener((ChannelFuture connected) -> onConnected(connected));
    }

    private void onConnected(ChannelFuture connected) {
        connecting = false;
        if (!connected.isSuccess() || closed) {
            connected.channel().close();
            postpone();
            refuseWaiting();
            return;
        }
        channel = connected.channel();
        heardAt = timers.now();
        pingedAt = 0;
        Channel opened = channel;
        opened.closeFuture().addListener(done -> onClosed(opened));
        opened.writeAndFlush(hellos.get());
        timers.schedule(
                GREETING_TIMEOUT_MILLISECONDS,
                () -> {
                    if (opened == channel && !greeted) {
                        opened.close();
                    }
                });
    }

    private void onClosed(Channel ended) {
        if (ended != channel) {
            return;
        }
        channel = null;
        greeted = false;
        postpone();
        boolean callsLost = !awaited.isEmpty();
        awaited.clear();
        refuseWaiting();
        if (callsLost) {
            listener.onLinkLost(peer);
        }
    }

    private void postpone() {
        retryAt = timers.now() + pause;
        pause = Math.min(2 * pause, GREATEST_PAUSE_MILLISECONDS);
    }

    private void refuseWaiting() {
        List<ForwardedCall> unsent = new ArrayList<>();
        for (LinkFrame frame : waiting) {
            if (frame.hasCall()) {
                unsent.add(frame.getCall());
            }
        }
        waiting.clear();
        if (!unsent.isEmpty()) {
            listener.onUnsent(peer, unsent);
        }
    }

    @Override
    public void send(ForwardedCall call) {
        LinkFrame frame = LinkFrame.newBuilder().setCall(call).build();
        open();
        boolean opening = connecting || channel != null;
        if (isUp()) {
            write(frame);
            channel.flush();
        } else if (opening && waiting.size() < MOST_WAITING_CALLS) {
            waiting.add(frame);
        } else {
            timers.execute(() -> listener.onUnsent(peer, List.of(call)));
        }
    }

    @Override
    public void send(CallSeal seal) {
        writeOrWait(LinkFrame.newBuilder().setSeal(seal).build());
    }

    @Override
    public void send(CallCancel cancel) {
        awaited.remove(cancel.getSequence());
        waiting.removeIf(
                frame -> frame.hasCall() && frame.getCall().getSequence() == cancel.getSequence());
        if (isUp()) {
            channel.writeAndFlush(LinkFrame.newBuilder().setCancel(cancel).build());
        }
    }

    @Override
    public void send(FleetNews news) {
        writeOrWait(LinkFrame.newBuilder().setFleetNews(news).build());
    }

    @Override
    public void send(ReaderSign sign) {
        writeOrWait(LinkFrame.newBuilder().setReaderSign(sign).build());
    }

    @Override
    public void send(FleetRequest request) {
        writeOrWait(LinkFrame.newBuilder().setFleetRequest(request).build());
    }

    private void writeOrWait(LinkFrame frame) {
        open();
        if (isUp()) {
            write(frame);
            channel.flush();
        } else if (waiting.size() < MOST_WAITING_CALLS) {
            waiting.add(frame);
        }
    }

    private void write(LinkFrame frame) {
        if (frame.hasCall()) {
            await(frame.getCall().getSequence());
        } else if (frame.hasSeal()) {
            await(frame.getSeal().getSequence());
        }
        channel.write(frame);
    }

    private void await(long sequence) {
        if (awaited.isEmpty()) {
            heardAt = timers.now();
            pingedAt = 0;
        }
        awaited.add(sequence);
        watch();
    }

    private void watch() {
        if (!watching) {
            watching = true;
            timers.schedule(WATCH_MILLISECONDS, this::look);
        }
    }

    /** Gives a silent connection up, or asks for a sign of life. */
    private void look() {
        watching = false;
        if (channel == null || awaited.isEmpty()) {
            return;
        }
        long now = timers.now();
        if (pingedAt > heardAt && now - pingedAt >= LOST_AFTER_MILLISECONDS) {
            channel.close();
            return;
        }
        if (pingedAt <= heardAt && now - heardAt >= PING_AFTER_MILLISECONDS) {
            pingedAt = now;
            channel.writeAndFlush(
                    LinkFrame.newBuilder().setPing(LinkPing.getDefaultInstance()).build());
        }
        watch();
    }

    @Override
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
        refuseWaiting();
    }

    private void onFrame(LinkFrame frame) {
        heardAt = timers.now();
        switch (frame.getBodyCase()) {
            case HELLO -> onHello(frame.getHello());
            case ANSWER -> {
                awaited.remove(frame.getAnswer().getSequence());
                listener.outcomeListener(peer).onAnswered(frame.getAnswer());
            }
            case REFUSAL -> {
                awaited.remove(frame.getRefusal().getSequence());
                listener.outcomeListener(peer).onRefused(frame.getRefusal());
            }
            case FAILURE -> {
                awaited.remove(frame.getFailure().getSequence());
                listener.outcomeListener(peer).onFailed(frame.getFailure());
            }
            case SEALED -> listener.outcomeListener(peer).onSealed(frame.getSealed());
            case LOAD -> listener.outcomeListener(peer).onLoad(frame.getLoad());
            case FLEET_NEWS -> listener.onFleetNews(frame.getFleetNews());
            default -> {
                // A pong, or a frame of a later version: a sign of life.
            }
        }
    }

    private void onHello(LinkHello hello) {
        greeted = true;
        pause = LEAST_PAUSE_MILLISECONDS;
        targetIncarnation = hello.getIncarnation();
        listener.onHello(peer, hello);
        if (channel != null) {
            waiting.forEach(this::write);
            waiting.clear();
            channel.flush();
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<LinkFrame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, LinkFrame frame) {
            if (context.channel() == channel) {
                onFrame(frame);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
