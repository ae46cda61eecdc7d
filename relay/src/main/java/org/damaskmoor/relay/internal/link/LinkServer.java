package org.damaskmoor.relay.internal.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.net.PortBinder;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * Takes links from other nodes.
 *
 * <p>Confined to the event loop. Invariant: one link for each entry node; a newer one closes the
 * older, so that a call that is still on its way over the older one is never taken after the entry
 * has asked about it over the newer.
 */
public final class LinkServer {
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final IncomingLinkHandler receiver;
    private final Map<NodeId, IncomingLink> links = new HashMap<>();
    private Channel listening;

    public LinkServer(EventLoop loop, InetSocketAddress address, IncomingLinkHandler receiver) {
        this.loop = loop;
        this.address = address;
        this.receiver = receiver;
    }

    /** Opens the port. */
    public CompletableFuture<Void> start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        FrameCodec.add(
                                                channel,
                                                new IncomingLink(LinkServer.this, receiver));
                                    }
                                });
        return PortBinder.bind(bootstrap, address, channel -> listening = channel);
    }

    /** Tells all entries the load of this instant. */
    public void broadcast(TargetLoad load) {
        links.values().forEach(link -> link.onLoad(load));
    }

    /** Closes the port and all links. */
    public void stop() {
        if (listening != null) {
            listening.close();
        }
        Map.copyOf(links).values().forEach(IncomingLink::close);
    }

    /** Makes the link the one of its entry; false when the entry has a newer one. */
    boolean register(IncomingLink link) {
        IncomingLink former = links.get(link.entry().node());
        if (former != null) {
            boolean sameLife = former.entry().equals(link.entry());
            if (sameLife && former.number() >= link.number()) {
                return false;
            }
            former.fence();
        }
        links.put(link.entry().node(), link);
        return true;
    }

    void unregister(IncomingLink link) {
        links.remove(link.entry().node(), link);
    }
}
