package org.damaskmoor.mesh;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.CancelCall;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NettyMeshTransportTest {
    private static final int FRAMES = 100;
    private static final int LARGE_BODY_BYTES = 900_000;
    private static final long WAIT_SECONDS = 5;

    private final Recorder received = new Recorder();
    private final Recorder sender = new Recorder();
    private NettyMeshTransport from;
    private NettyMeshTransport to;
    private MeshPeer peer;

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress address = freeAddress();
        peer = new MeshPeer(new NodeId("to"), address);
        to = transport("to", address, received);
        from = transport("from", freeAddress(), sender);
        to.start().join();
        from.start().join();
    }

    @AfterEach
    void stop() {
        from.stop().join();
        to.stop().join();
    }

    @Test
    void should_deliver_every_frame_in_order_when_frames_wait_for_the_first_connection()
            throws Exception {
        // when
        for (int i = 1; i <= FRAMES; i++) {
            from.send(peer, frame(i));
        }

        // then
        for (int i = 1; i <= FRAMES; i++) {
            assertThat(received.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(frame(i));
        }
        assertThat(sender.unsent).isEmpty();
    }

    @Test
    void should_report_an_unsent_frame_when_the_peer_does_not_listen() throws Exception {
        // given
        MeshPeer nobody = new MeshPeer(new NodeId("nobody"), freeAddress());

        // when
        from.send(nobody, frame(1));

        // then
        assertThat(sender.unsent.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(frame(1));
    }

    @Test
    void should_report_a_lost_connection_when_another_node_has_the_address() throws Exception {
        // given
        MeshPeer replaced = new MeshPeer(new NodeId("former"), peer.address());

        // when
        from.send(replaced, frame(1));

        // then
        assertThat(sender.lost.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(replaced.nodeId());
    }

    @Test
    void should_bound_the_unsent_bytes_when_the_peer_does_not_read() throws Exception {
        // given
        MeshFrame large = largeFrame();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            MeshPeer slow =
                    new MeshPeer(
                            new NodeId("slow"),
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), silent.getLocalPort()));

            // when
            for (int i = 0; i < FRAMES; i++) {
                from.send(slow, large);
            }

            // then
            assertThat(sender.unsent.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(large);
        }
    }

    private static MeshFrame largeFrame() {
        ByteString body = ByteString.copyFrom(new byte[LARGE_BODY_BYTES]);
        return MeshFrame.newBuilder().setCall(Call.newBuilder().setBody(body)).build();
    }

    private static MeshFrame frame(int attempt) {
        return MeshFrame.newBuilder()
                .setCancel(CancelCall.newBuilder().setAttempt(attempt))
                .build();
    }

    private static NettyMeshTransport transport(
            String name, InetSocketAddress address, MeshListener listener) {
        MeshSettings settings =
                new MeshSettings(
                        new NodeId(name),
                        new Incarnation(1),
                        address,
                        1_000_000,
                        1_024,
                        Duration.ofSeconds(WAIT_SECONDS),
                        Duration.ofSeconds(WAIT_SECONDS),
                        Optional.empty());
        return new NettyMeshTransport(settings, listener, ChannelCustomizer.NONE);
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static final class Recorder implements MeshListener {
        private final BlockingQueue<MeshFrame> frames = new LinkedBlockingQueue<>();
        private final BlockingQueue<MeshFrame> unsent = new LinkedBlockingQueue<>();
        private final BlockingQueue<NodeId> lost = new LinkedBlockingQueue<>();

        @Override
        public void onFrame(MeshLink link, MeshFrame frame) {
            frames.add(frame);
        }

        @Override
        public void onUnsent(NodeId node, MeshFrame frame, MeshException cause) {
            unsent.add(frame);
        }

        @Override
        public void onLinkLost(NodeId node, long lastUsedNanoseconds, MeshException cause) {
            lost.add(node);
        }
    }
}
