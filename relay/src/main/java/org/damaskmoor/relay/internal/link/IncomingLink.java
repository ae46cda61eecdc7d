package org.damaskmoor.relay.internal.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
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
 * <p>Invariants: frames before the hello, and frames after the link was fenced, are not taken; nor
 * are calls that are meant for another node, which had this address before.
 */
final class IncomingLink extends SimpleChannelInboundHandler<LinkFrame>
        implements CallOutcomeListener {
    private final LinkServer server;
    private final IncomingLinkHandler receiver;
    private ChannelHandlerContext context;
    private EntryId entry;
    private long number;
    private boolean fenced;
    private boolean callsTaken;

    IncomingLink(LinkServer server, IncomingLinkHandler receiver) {
        this.server = server;
        this.receiver = receiver;
    }

    EntryId entry() {
        return entry;
    }

    long number() {
        return number;
    }

    /** Takes no further frame. */
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
        number = hello.getLinkNumber();
        LinkHello greeting = receiver.createHello(entry, this);
        String expected = hello.getExpectedNodeId();
        boolean meant = expected.equals(greeting.getNodeId());
        callsTaken = meant && server.register(this);
        write(LinkFrame.newBuilder().setHello(greeting));
        if (!callsTaken && !expected.isEmpty()) {
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
                                            receiver.createFleetNews(frame.getFleetRequest())));
            case FLEET_NEWS -> receiver.onFleetNews(frame.getFleetNews());
            case READER_SIGN -> receiver.onReaderSign(frame.getReaderSign());
            default -> {
                // A frame of a later version.
            }
        }
    }

    private void onCallFrame(LinkFrame frame) {
        if (!callsTaken) {
            close();
        } else if (frame.hasCall()) {
            receiver.onCall(entry, frame.getCall(), this);
        } else if (frame.hasSeal()) {
            receiver.onSeal(entry, frame.getSeal(), this);
        } else {
            receiver.onCancel(entry, frame.getCancel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        fenced = true;
        if (entry != null) {
            server.unregister(this);
            receiver.onLinkClosed(entry, this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    @Override
    public void onAnswered(ForwardedAnswer answer) {
        write(LinkFrame.newBuilder().setAnswer(answer));
    }

    @Override
    public void onRefused(ForwardedRefusal refusal) {
        write(LinkFrame.newBuilder().setRefusal(refusal));
    }

    @Override
    public void onFailed(ForwardedFailure failure) {
        write(LinkFrame.newBuilder().setFailure(failure));
    }

    @Override
    public void onSealed(CallSealed sealed) {
        write(LinkFrame.newBuilder().setSealed(sealed));
    }

    @Override
    public void onLoad(TargetLoad load) {
        write(LinkFrame.newBuilder().setLoad(load));
    }

    private void write(LinkFrame.Builder frame) {
        context.writeAndFlush(frame.build());
    }
}
