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
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.net.PortBinder;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * Accepts links from other nodes.
 *
 * <p>Confined to the event loop. Invariant: one link for each entry node. A newer link closes the
 * older one, so that a call still in transit on the older one is never accepted after the entry has
 * sealed it over the newer one.
 */
public final class LinkServer {
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final IncomingLinkHandler handler;
    private final ConnectionFailureLog failureLog;
    private final Map<NodeId, IncomingLink> links = new HashMap<>();
    private Channel serverChannel;

    public LinkServer(
            EventLoop loop,
            InetSocketAddress address,
            IncomingLinkHandler handler,
            ConnectionFailureLog failureLog) {
        this.loop = loop;
        this.address = address;
        this.handler = handler;
        this.failureLog = failureLog;
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
                                                new IncomingLink(
                                                        LinkServer.this, handler, failureLog));
                                    }
                                });
        return PortBinder.bind(bootstrap, address, channel -> serverChannel = channel);
    }

    /** Sends the current load to all entries. */
    public void broadcast(TargetLoad load) {
        links.values().forEach(link -> link.onLoad(load));
    }

    /** Whether some links have not yet taken the outcomes of calls. */
    public boolean hasUnwrittenOutcomes() {
        return links.values().stream().anyMatch(IncomingLink::hasUnwrittenOutcomes);
    }

    /** Closes the port and all links. */
    public void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        Map.copyOf(links).values().forEach(IncomingLink::close);
    }

    /** Makes the link the current one of its entry; returns false if the entry has a newer one. */
    boolean register(IncomingLink link) {
        IncomingLink previous = links.get(link.entry().node());
        if (previous != null) {
            boolean sameIncarnation = previous.entry().equals(link.entry());
            if (sameIncarnation && previous.linkNumber() >= link.linkNumber()) {
                return false;
            }
            previous.fence();
        }
        links.put(link.entry().node(), link);
        return true;
    }

    void unregister(IncomingLink link) {
        links.remove(link.entry().node(), link);
    }
}
