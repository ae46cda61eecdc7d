package org.damaskmoor.relay.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.LinkPing;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.SealState;

/**
 * The entry's end of a link over TCP: one connection at a time, opened again after it was lost.
 *
 * <p>A connection that is silent while an outcome is awaited is pinged, and closed if nothing
 * arrives: connections can stall for good while new ones work.
 *
 * <p>Confined to the event loop. Invariants: each connection has a greater link number than the one
 * before; no call is written, and no other frame processed, before the target's hello; a target
 * that had no configuration at its hello gets this node's before the first call; calls that were
 * never written are reported as unsent, calls that were written to a lost connection as lost; a
 * retired link takes no calls, and closes when no outcome is awaited and no seal is queued.
 */
final class OutgoingLink implements CallLink {
    /** Longest wait for the target's hello. */
    private static final long HELLO_TIMEOUT_MILLISECONDS = 800;

    private final NodeId peer;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Supplier<LinkFrame> helloFrames;
    private final Supplier<LinkFrame> configurationFrames;
    private final Timers timers;
    private final LinkListener listener;
    private final ConnectionFailureLog failureLog;
    private final QueuedFrames queuedFrames = new QueuedFrames();
    private final ConnectBackoff backoff = new ConnectBackoff();
    private final AwaitedOutcomes awaited;
    private Channel channel;
    private boolean connecting;
    private boolean helloReceived;
    private boolean closed;
    private Optional<Runnable> retirement = Optional.empty();
    private boolean targetUnconfigured;
    private long targetIncarnation;
    private TargetLoad lastLoad = TargetLoad.getDefaultInstance();

    OutgoingLink(
            NodeId peer,
            InetSocketAddress address,
            Bootstrap bootstrap,
            Supplier<LinkFrame> helloFrames,
            Supplier<LinkFrame> configurationFrames,
            Timers timers,
            LinkListener listener,
            ConnectionFailureLog failureLog) {
        this.peer = peer;
        this.address = address;
        this.bootstrap = bootstrap;
        this.helloFrames = helloFrames;
        this.configurationFrames = configurationFrames;
        this.timers = timers;
        this.listener = listener;
        this.failureLog = failureLog;
        this.awaited = new AwaitedOutcomes(timers, this::ping, this::closeSilent);
    }

    @Override
    public boolean isUp() {
        return channel != null && helloReceived;
    }

    @Override
    public boolean isFailing() {
        return backoff.isFailing() && !isUp();
    }

    @Override
    public long targetIncarnation() {
        return targetIncarnation;
    }

    @Override
    public void open() {
        if (channel != null || connecting || closed || !backoff.mayConnect(timers.now())) {
            return;
        }
        connecting = true;
        bootstrap
                .clone()
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel created) {
                                FrameCodec.add(
                                        created,
                                        new FrameReader(OutgoingLink.this::onFrame, failureLog));
                            }
                        })
                .connect(address)
                .addListener((ChannelFuture connected) -> onConnected(connected));
    }

    private void onConnected(ChannelFuture connected) {
        connecting = false;
        if (!connected.isSuccess() || closed) {
            connected.channel().close();
            backoff.onFailed(timers.now());
            reportQueuedAsUnsent();
            closeIfRetired();
            return;
        }
        channel = connected.channel();
        Channel opened = channel;
        opened.closeFuture().addListener(done -> onClosed(opened));
        opened.writeAndFlush(helloFrames.get());
        timers.schedule(
                HELLO_TIMEOUT_MILLISECONDS,
                () -> {
                    if (opened == channel && !helloReceived) {
                        opened.close();
                    }
                });
    }

    private void onClosed(Channel ended) {
        if (ended != channel) {
            return;
        }
        channel = null;
        helloReceived = false;
        backoff.onFailed(timers.now());
        boolean outcomesLost = awaited.hasCalls();
        awaited.clear();
        reportQueuedAsUnsent();
        if (outcomesLost) {
            listener.onLinkLost(this);
        }
        closeIfRetired();
    }

    private void reportQueuedAsUnsent() {
        reportAsUnsent(queuedFrames.removeAll());
    }

    private void reportAsUnsent(List<ForwardedCall> calls) {
        if (!calls.isEmpty()) {
            listener.onUnsent(peer, calls);
        }
    }

    @Override
    public void send(ForwardedCall call) {
        if (retirement.isPresent()) {
            timers.execute(() -> listener.onUnsent(peer, List.of(call)));
            return;
        }
        LinkFrame frame = LinkFrame.newBuilder().setCall(call).build();
        open();
        boolean opening = connecting || channel != null;
        if (isUp()) {
            write(frame);
            channel.flush();
        } else if (!opening || !queuedFrames.offer(frame)) {
            timers.execute(() -> listener.onUnsent(peer, List.of(call)));
        }
    }

    @Override
    public void send(CallSeal seal) {
        writeOrQueue(LinkFrame.newBuilder().setSeal(seal).build());
        openAfterBackoff();
    }

    /** Opens the link as soon as it may be, without waiting for the next call to open it. */
    private void openAfterBackoff() {
        if (channel == null && !connecting && !closed) {
            timers.schedule(backoff.remainingMilliseconds(timers.now()), this::open);
        }
    }

    @Override
    public void send(CallCancel cancel) {
        queuedFrames.removeCall(cancel.getSequence());
        if (isUp()) {
            channel.writeAndFlush(LinkFrame.newBuilder().setCancel(cancel).build());
        }
        awaited.remove(cancel.getSequence());
        closeIfRetired();
    }

    @Override
    public void send(FleetNews update) {
        writeOrQueue(LinkFrame.newBuilder().setFleetNews(update).build());
    }

    @Override
    public void send(ReaderSign sign) {
        writeOrQueue(LinkFrame.newBuilder().setReaderSign(sign).build());
    }

    @Override
    public void send(FleetRequest request) {
        writeOrQueue(LinkFrame.newBuilder().setFleetRequest(request).build());
    }

    @Override
    public void send(QuotaReport report) {
        sendQuotaFrame(LinkFrame.newBuilder().setQuotaReport(report).build());
    }

    @Override
    public void send(QuotaGrant grant) {
        sendQuotaFrame(LinkFrame.newBuilder().setQuotaGrant(grant).build());
    }

    /** At most one is queued until the link is up: newer ones replace what it tells. */
    private void sendQuotaFrame(LinkFrame frame) {
        if (isUp() || !queuedFrames.contains(QuotaFrames::isQuotaFrame)) {
            writeOrQueue(frame);
        }
    }

    private void writeOrQueue(LinkFrame frame) {
        open();
        if (isUp()) {
            write(frame);
            channel.flush();
        } else {
            queuedFrames.offer(frame);
        }
    }

    private void write(LinkFrame frame) {
        if (frame.hasCall() && targetUnconfigured) {
            targetUnconfigured = false;
            channel.write(configurationFrames.get());
        }
        awaited.onWritten(frame);
        channel.write(frame);
    }

    private void ping() {
        channel.writeAndFlush(
                LinkFrame.newBuilder().setPing(LinkPing.getDefaultInstance()).build());
    }

    private void closeSilent() {
        channel.close();
    }

    @Override
    public void retire(Runnable onClosed) {
        retirement = Optional.of(onClosed);
        reportAsUnsent(queuedFrames.removeAllButSeals());
        closeIfRetired();
    }

    @Override
    public void reinstate() {
        retirement = Optional.empty();
        backoff.reset();
        // A member that was added again has no load report, and none may follow soon.
        timers.execute(this::repeatLoad);
    }

    private void repeatLoad() {
        if (isUp()) {
            listener.outcomeListener(peer).onLoad(lastLoad);
        }
    }

    /**
     * Closes the link if it is retired and no longer needed. Each call is cancelled at its deadline
     * at the latest, and a silent connection counts as lost, so that the link is not kept for good.
     */
    private void closeIfRetired() {
        if (retirement.isPresent()
                && !awaited.hasCalls()
                && !queuedFrames.contains(LinkFrame::hasSeal)) {
            close();
        }
    }

    @Override
    public void close() {
        closed = true;
        Optional<Runnable> ended = retirement;
        retirement = Optional.empty();
        if (channel != null) {
            channel.close();
        }
        reportQueuedAsUnsent();
        ended.ifPresent(Runnable::run);
    }

    private void onFrame(Channel source, LinkFrame frame) {
        if (source != channel) {
            return;
        }
        awaited.onReceived();
        if (!helloReceived && !frame.hasHello()) {
            channel.close();
            return;
        }
        process(frame);
        closeIfRetired();
    }

    private void process(LinkFrame frame) {
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
            case SEALED -> onSealed(frame.getSealed());
            case LOAD -> {
                lastLoad = frame.getLoad();
                listener.outcomeListener(peer).onLoad(lastLoad);
            }
            case FLEET_NEWS -> listener.onFleetNews(frame.getFleetNews());
            case QUOTA_GRANT -> {
                awaited.removeQuotaFrame();
                listener.onQuotaGrant(peer, frame.getQuotaGrant());
            }
            case QUOTA_REPORT -> {
                awaited.removeQuotaFrame();
                listener.onQuotaReport(peer, frame.getQuotaReport());
            }
            case PONG -> awaited.removeQuotaFrame();
            default -> {
                // A frame of a later protocol version; receiving it shows that the link
                // works.
            }
        }
    }

    /** No outcome follows unless the call was handed over or its answer is still stored. */
    private void onSealed(CallSealed sealed) {
        boolean isFinal =
                sealed.getState() == SealState.SEALED
                        || sealed.getState() == SealState.OTHER_INCARNATION;
        if (isFinal) {
            awaited.remove(sealed.getSequence());
        }
        listener.outcomeListener(peer).onSealed(sealed);
    }

    private void onHello(LinkHello hello) {
        if (helloReceived) {
            return;
        }
        helloReceived = true;
        FrameCodec.acceptLargeFrames(channel);
        backoff.reset();
        targetIncarnation = hello.getIncarnation();
        targetUnconfigured = hello.getConfigurationVersion() == 0;
        lastLoad = hello.getLoad();
        if (retirement.isEmpty()) {
            listener.onHello(peer, hello);
        } else if (!hello.getNodeId().equals(peer.value())) {
            close();
        }
        if (channel != null) {
            queuedFrames.drainTo(this::write);
            channel.flush();
        }
    }
}
