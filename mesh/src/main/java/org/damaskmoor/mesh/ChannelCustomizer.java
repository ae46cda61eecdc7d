package org.damaskmoor.mesh;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/**
 * Adds handlers to a channel between two nodes before it is used, for example an emulated link in
 * benchmarks.
 *
 * <p>Called on the channel's event loop; must not block.
 */
@FunctionalInterface
public interface ChannelCustomizer {
    /** A customizer that changes nothing. */
    ChannelCustomizer NONE = (channel, remote) -> {};

    /**
     * Adds handlers to the pipeline.
     *
     * @param channel the new channel
     * @param remote the other end, or null for a datagram channel, which serves many peers
     */
    void customize(Channel channel, InetSocketAddress remote);
}
