package org.damaskmoor.relay.internal.link;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.LinkPong;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * The target's end of one link. Confined to the event loop.
 *
 * <p>Invariants: frames before the hello and frames after the link was fenced are not processed;
 * nor are calls that are meant for another node, which had this address before.
 */
final class IncomingLink extends SimpleChannelInboundHandler<LinkFrame>
        implements CallOutcomeListener {
    private final LinkServer server;
    private final IncomingLinkHandler handler;
    private final ConnectionFailureLog failureLog;
    private ChannelHandlerContext context;
    private EntryId entry;
    private long linkNumber;
    private boolean fenced;
    private boolean acceptsCalls;
    private int unwrittenOutcomes;

    IncomingLink(LinkServer server, IncomingLinkHandler handler, ConnectionFailureLog failureLog) {
        this.server = server;
        this.handler = handler;
        this.failureLog = failureLog;
    }

    EntryId entry() {
        return entry;
    }

    long linkNumber() {
        return linkNumber;
    }

    /** Whether the link has not yet taken all outcomes of calls. */
    boolean hasUnwrittenOutcomes() {
        return unwrittenOutcomes > 0;
    }

    /** Ignores all further frames and closes the link. */
    void fence() {
        fenced = true;
        close();
    }

    void close() {
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext active, LinkFrame frame) {
        if (fenced) {
            return;
        }
        if (frame.hasHello()) {
            onHello(frame.getHello());
        } else if (entry == null) {
            close();
        } else {
            onFrame(frame);
        }
    }

    private void onHello(LinkHello hello) {
        if (entry != null || hello.getNodeId().isEmpty() || hello.getIncarnation() == 0) {
            close();
            return;
        }
        entry = new EntryId(new NodeId(hello.getNodeId()), new Incarnation(hello.getIncarnation()));
        linkNumber = hello.getLinkNumber();
        LinkHello targetHello = handler.createHello(entry, this);
        String expected = hello.getExpectedNodeId();
        boolean isIntendedNode = expected.equals(targetHello.getNodeId());
        acceptsCalls = isIntendedNode && server.register(this);
        FrameCodec.acceptLargeFrames(context.channel());
        write(LinkFrame.newBuilder().setHello(targetHello));
        if (!acceptsCalls && !expected.isEmpty()) {
            fence();
        }
    }

    private void onFrame(LinkFrame frame) {
        switch (frame.getBodyCase()) {
            case CALL, SEAL, CANCEL -> onCallFrame(frame);
            case PING -> write(LinkFrame.newBuilder().setPong(LinkPong.getDefaultInstance()));
            case FLEET_REQUEST ->
                    write(
                            LinkFrame.newBuilder()
                                    .setFleetNews(
                                            handler.createFleetNews(frame.getFleetRequest())));
            case FLEET_NEWS -> handler.onFleetNews(frame.getFleetNews());
            case READER_SIGN -> handler.onReaderSign(frame.getReaderSign());
            case QUOTA_REPORT ->
                    handler.onQuotaReport(entry, frame.getQuotaReport())
                            .ifPresent(grant -> write(LinkFrame.newBuilder().setQuotaGrant(grant)));
            case QUOTA_GRANT ->
                    handler.onQuotaGrant(entry, frame.getQuotaGrant())
                            .ifPresent(
                                    answer -> write(LinkFrame.newBuilder().setQuotaReport(answer)));
            default -> {
                // A frame of a later protocol version.
            }
        }
    }

    private void onCallFrame(LinkFrame frame) {
        if (!acceptsCalls) {
            close();
        } else if (frame.hasCall()) {
            handler.onCall(entry, frame.getCall(), this);
        } else if (frame.hasSeal()) {
            handler.onSeal(entry, frame.getSeal(), this);
        } else {
            handler.onCancel(entry, frame.getCancel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        fenced = true;
        if (entry != null) {
            server.unregister(this);
            handler.onLinkClosed(entry, this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failureLog.close(failed, cause);
    }

    @Override
    public void onAnswered(ForwardedAnswer answer) {
        writeOutcome(LinkFrame.newBuilder().setAnswer(answer));
    }

    @Override
    public void onRefused(ForwardedRefusal refusal) {
        writeOutcome(LinkFrame.newBuilder().setRefusal(refusal));
    }

    @Override
    public void onFailed(ForwardedFailure failure) {
        writeOutcome(LinkFrame.newBuilder().setFailure(failure));
    }

    @Override
    public void onSealed(CallSealed sealed) {
        writeOutcome(LinkFrame.newBuilder().setSealed(sealed));
    }

    @Override
    public void onLoad(TargetLoad load) {
        write(LinkFrame.newBuilder().setLoad(load));
    }

    private void writeOutcome(LinkFrame.Builder frame) {
        unwrittenOutcomes++;
        write(frame).addListener(done -> unwrittenOutcomes--);
    }

    private ChannelFuture write(LinkFrame.Builder frame) {
        return context.writeAndFlush(frame.build());
    }
}
