package org.damaskmoor.relay.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.TcpKeepAlive;
import org.damaskmoor.relay.internal.time.Timers;

/** Makes links to other nodes. Confined to the event loop. */
public final class LinkDialer {
    /** Longest time to open a connection; a VM without power does not answer. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 800;

    private final Bootstrap bootstrap;
    private final HelloFrameFactory hellos;
    private final Timers timers;

    public LinkDialer(
            EventLoop loop,
            Timers timers,
            NodeId self,
            Incarnation incarnation,
            LongSupplier configurationVersion) {
        this.timers = timers;
        this.hellos = new HelloFrameFactory(self, incarnation, configurationVersion);
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .option(ChannelOption.TCP_NODELAY, true);
        TcpKeepAlive.enable(bootstrap);
    }

    /** A link that is opened when it is first needed. */
    public CallLink link(NodeId peer, InetSocketAddress address, LinkListener listener) {
        return new OutgoingLink(
                peer, address, bootstrap, () -> hellos.frame(peer.value()), timers, listener);
    }

    /** A link to whichever node is at an address, which only asks for news. */
    public CallLink seedLink(InetSocketAddress address, LinkListener listener) {
        NodeId unknown = new NodeId("at-" + address.getHostString());
        return new OutgoingLink(
                unknown, address, bootstrap, () -> hellos.frame(""), timers, listener);
    }
}
