package org.damaskmoor.relay.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.platform.protocol.TcpKeepAlive;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.LinkFrame;

/** Creates links to other nodes. Confined to the event loop. */
public final class LinkDialer {
    /** Connect timeout, because a VM without power does not answer. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 800;

    private final Bootstrap bootstrap;
    private final HelloFrameFactory helloFrames;
    private final Supplier<ConfigurationSource> configuration;
    private final Timers timers;
    private final ConnectionFailureLog failureLog;

    /**
     * Creates a dialer.
     *
     * @param configuration tells other nodes the configuration in force
     */
    public LinkDialer(
            EventLoop loop,
            Timers timers,
            NodeId self,
            Incarnation incarnation,
            Supplier<ConfigurationSource> configuration,
            EventLog log) {
        this.configuration = configuration;
        this.timers = timers;
        this.failureLog = new ConnectionFailureLog(log, "outgoing-link");
        this.helloFrames =
                new HelloFrameFactory(self, incarnation, () -> configuration.get().version());
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .option(ChannelOption.TCP_NODELAY, true);
        TcpKeepAlive.enable(bootstrap);
    }

    private LinkFrame configurationFrame() {
        FleetNews update =
                FleetNews.newBuilder()
                        .setCompressedConfiguration(configuration.get().compressedText())
                        .build();
        return LinkFrame.newBuilder().setFleetNews(update).build();
    }

    /** Creates a link that is opened when it is first needed. */
    public CallLink link(NodeId peer, InetSocketAddress address, LinkListener listener) {
        return new OutgoingLink(
                peer,
                address,
                bootstrap,
                () -> helloFrames.create(peer.value()),
                this::configurationFrame,
                timers,
                listener,
                failureLog);
    }

    /**
     * Creates a link to a node whose id is unknown, used only to request what it knows of the
     * fleet.
     */
    public CallLink seedLink(InetSocketAddress address, LinkListener listener) {
        NodeId placeholder = new NodeId("at-" + address.getHostString());
        return new OutgoingLink(
                placeholder,
                address,
                bootstrap,
                () -> helloFrames.create(""),
                this::configurationFrame,
                timers,
                listener,
                failureLog);
    }
}
