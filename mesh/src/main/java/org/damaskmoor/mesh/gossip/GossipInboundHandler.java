package org.damaskmoor.mesh.gossip;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.damaskmoor.schema.gossip.GossipMessage;

/**
 * Decodes datagrams and passes them to the listener; a malformed one is counted and does not close
 * the channel. Confined to the channel's event loop.
 */
final class GossipInboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final GossipListener listener;
    private final GossipTraffic traffic;

    GossipInboundHandler(GossipListener listener, GossipTraffic traffic) {
        this.listener = listener;
        this.traffic = traffic;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
        byte[] bytes = ByteBufUtil.getBytes(datagram.content());
        try {
            GossipMessage message = GossipMessage.parseFrom(bytes);
            if (message.getSender().isEmpty()) {
                traffic.onMalformed();
                return;
            }
            traffic.onReceived(message, bytes.length);
            listener.onMessage(message, datagram.sender());
        } catch (InvalidProtocolBufferException failure) {
            traffic.onMalformed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        traffic.onMalformed();
    }
}
