package org.damaskmoor.mesh;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/**
 * Lets the program that starts a node add handlers to each new channel between nodes.
 *
 * <pre>{@code
 * ChannelCustomizer none = (channel, remote) -> {};
 * }</pre>
 *
 * <p>Called once for each channel, before its first write, on the channel's event loop or before the
 * channel is registered. For an accepted channel and for a datagram channel the remote address may be
 * null: a datagram channel has as many remote addresses as there are peers.
 *
 * <p>Thread safety: implementations are called from several event loops at once.
 */
@FunctionalInterface
public interface ChannelCustomizer {
    /**
     * Adds handlers to the channel's pipeline, nearest to the network.
     *
     * @param channel the new channel
     * @param remote the peer's address, null when it is not known yet
     */
    void customize(Channel channel, InetSocketAddress remote);
}
