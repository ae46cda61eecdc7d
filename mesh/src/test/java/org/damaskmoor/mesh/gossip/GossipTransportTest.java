package org.damaskmoor.mesh.gossip;

import static com.google.common.truth.Truth.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.GossipMessage.BodyCase;
import org.damaskmoor.schema.gossip.Ping;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GossipTransportTest {
    private static final GossipMessage PING =
            GossipMessage.newBuilder()
                    .setSender("besuch-1")
                    .setPing(Ping.newBuilder().setTarget("besuch-2"))
                    .build();

    private final LinkedBlockingQueue<GossipMessage> received = new LinkedBlockingQueue<>();
    private final GossipTransport sending =
            new GossipTransport(anyPort(), (message, from) -> {}, ChannelCustomizer.NONE);
    private final GossipTransport receiving =
            new GossipTransport(
                    anyPort(), (message, from) -> received.add(message), ChannelCustomizer.NONE);

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    @AfterEach
    void close() {
        sending.close().join();
        receiving.close().join();
    }

    @Test
    void should_deliver_and_count_a_message_when_it_arrives() throws Exception {
        // given
        sending.start().join();
        InetSocketAddress address = receiving.start().join();

        // when
        sending.send(address, PING);

        // then
        assertThat(received.take()).isEqualTo(PING);
        assertThat(receiving.traffic().receivedBytes(BodyCase.PING))
                .isEqualTo(PING.getSerializedSize());
    }

    @Test
    void should_count_and_ignore_a_datagram_when_it_is_malformed() throws Exception {
        // given
        InetSocketAddress address = receiving.start().join();
        byte[] malformed = {(byte) 0xFF, (byte) 0xFF, 1};

        // when
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(malformed, malformed.length, address));
            byte[] wellFormed = PING.toByteArray();
            socket.send(new DatagramPacket(wellFormed, wellFormed.length, address));
        }

        // then
        assertThat(received.take()).isEqualTo(PING);
        assertThat(receiving.traffic().malformedDatagrams()).isEqualTo(1);
    }

    @Test
    void should_drop_and_count_a_message_when_the_socket_is_not_open() {
        // when
        sending.send(anyPort(), PING);

        // then
        assertThat(sending.traffic().unsentDatagrams()).isEqualTo(1);
    }
}
