package org.damaskmoor.node.internal.security;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.mesh.MeshException;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.MeshListener;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.mesh.MeshSettings;
import org.damaskmoor.mesh.MeshTls;
import org.damaskmoor.mesh.NettyMeshTransport;
import org.damaskmoor.node.NodeMain;
import org.damaskmoor.node.internal.operator.OperatorServer;
import org.damaskmoor.schema.mesh.LoadProbe;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.operator.GetStatusRequest;
import org.damaskmoor.schema.operator.OperatorServiceGrpc;
import org.damaskmoor.schema.settings.NodeSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeTlsTest {
    private static final NodeId TARGET = new NodeId("target");
    private static final MeshFrame FRAME =
            MeshFrame.newBuilder().setLoadProbe(LoadProbe.newBuilder().setProbeId(7)).build();
    private static final long FAILED_TEST_SECONDS = 20;

    @TempDir static Path directory;

    private static TestCertificateAuthority authority;
    private static TestCertificateAuthority otherAuthority;

    private final List<NettyMeshTransport> transports = new ArrayList<>();

    @BeforeAll
    static void createCertificates() throws IOException, InterruptedException {
        authority = new TestCertificateAuthority(directory, "authority");
        authority.sign("node");
        otherAuthority = new TestCertificateAuthority(directory, "stranger");
        otherAuthority.sign("intruder");
    }

    @AfterEach
    void stop() {
        transports.forEach(transport -> transport.stop().join());
    }

    @Test
    void should_deliver_frames_when_both_nodes_have_a_certificate_of_the_authority()
            throws Exception {
        // given
        Recorder target = new Recorder();
        MeshPeer peer = start(target, nodeTls().mesh());
        NettyMeshTransport entry = transport("entry", 0, new Recorder(), nodeTls().mesh());

        // when
        entry.send(peer, FRAME);

        // then
        assertThat(target.frames.poll(FAILED_TEST_SECONDS, TimeUnit.SECONDS)).isEqualTo(FRAME);
    }

    @Test
    void should_refuse_a_node_when_it_has_no_certificate() throws Exception {
        // given
        SslContext withoutCertificate =
                SslContextBuilder.forClient()
                        .trustManager(authority.authorityFile().toFile())
                        .build();

        // then
        shouldRefuse(withoutCertificate);
    }

    @Test
    void should_refuse_a_node_when_another_authority_signed_its_certificate() throws Exception {
        // given
        SslContext signedByOtherAuthority =
                SslContextBuilder.forClient()
                        .keyManager(
                                otherAuthority.certificateFile("intruder").toFile(),
                                otherAuthority.keyFile("intruder").toFile())
                        .trustManager(authority.authorityFile().toFile())
                        .build();

        // then
        shouldRefuse(signedByOtherAuthority);
    }

    @Test
    void should_refuse_an_operator_when_it_has_no_certificate() throws Exception {
        // given
        OperatorServer server =
                new OperatorServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.of(nodeTls().operators()),
                        new OperatorServiceGrpc.OperatorServiceImplBase() {});
        server.start().join();
        SslContext withoutCertificate =
                GrpcSslContexts.forClient()
                        .trustManager(authority.authorityFile().toFile())
                        .build();
        SslContext withCertificate =
                GrpcSslContexts.forClient()
                        .keyManager(
                                authority.certificateFile("node").toFile(),
                                authority.keyFile("node").toFile())
                        .trustManager(authority.authorityFile().toFile())
                        .build();

        // when
        String refused = statusOfCall(server.port(), withoutCertificate);
        String reached = statusOfCall(server.port(), withCertificate);
        server.stop().join();

        // then
        assertThat(refused).isEqualTo("UNAVAILABLE");
        assertThat(reached).isEqualTo("UNIMPLEMENTED");
    }

    @Test
    void should_name_the_flag_when_a_file_cannot_be_used() throws Exception {
        // given
        NodeSettings settings =
                settings().toBuilder().setTlsKeyFile(directory + "/none.pem").build();

        // when
        SettingsException failure =
                assertThrows(SettingsException.class, () -> NodeTls.read(settings));

        // then
        assertThat(failure)
                .hasMessageThat()
                .contains("--tls-key-file has the value '" + directory + "/none.pem'");
    }

    @Test
    void should_exit_with_2_when_tls_is_half_set() throws Exception {
        // when
        int exitCode =
                NodeMain.run(
                        new String[] {
                            "--node-id=besuch-1",
                            "--region=mittelland",
                            "--data-centre=bern-nord",
                            "--table-service-url=http://127.0.0.1:1",
                            "--object-store-url=http://127.0.0.1:1",
                            "--tls-certificate-file=" + authority.certificateFile("node")
                        },
                        ChannelCustomizer.NONE);

        // then
        assertThat(exitCode).isEqualTo(2);
    }

    /**
     * Checks that the refused node reports a failure and that the target never receives its frame.
     */
    private void shouldRefuse(SslContext client) throws Exception {
        Recorder target = new Recorder();
        MeshPeer peer = start(target, nodeTls().mesh());
        Recorder entry = new Recorder();
        NettyMeshTransport refused =
                transport("entry", 0, entry, new MeshTls(nodeTls().mesh().server(), client));
        refused.send(peer, FRAME);
        assertThat(entry.failures.poll(FAILED_TEST_SECONDS, TimeUnit.SECONDS)).isNotNull();
        assertThat(target.frames).isEmpty();
    }

    private static String statusOfCall(int port, SslContext security) {
        ManagedChannel channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port).sslContext(security).build();
        try {
            StatusRuntimeException failure =
                    assertThrows(
                            StatusRuntimeException.class,
                            () ->
                                    OperatorServiceGrpc.newBlockingStub(channel)
                                            .withDeadlineAfter(
                                                    FAILED_TEST_SECONDS, TimeUnit.SECONDS)
                                            .getStatus(GetStatusRequest.getDefaultInstance()));
            return failure.getStatus().getCode().name();
        } finally {
            channel.shutdownNow();
        }
    }

    private MeshPeer start(Recorder listener, MeshTls security) throws IOException {
        int port = freePort();
        transport("target", port, listener, security).start().join();
        return new MeshPeer(TARGET, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private NettyMeshTransport transport(
            String node, int port, MeshListener listener, MeshTls security) {
        MeshSettings settings =
                new MeshSettings(
                        new NodeId(node),
                        new Incarnation(1),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        1024 * 1024,
                        64,
                        Duration.ofSeconds(FAILED_TEST_SECONDS),
                        Duration.ofSeconds(FAILED_TEST_SECONDS),
                        Optional.of(security));
        NettyMeshTransport transport =
                new NettyMeshTransport(settings, listener, ChannelCustomizer.NONE);
        transports.add(transport);
        return transport;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static NodeTls nodeTls() throws Exception {
        return NodeTls.read(settings()).orElseThrow();
    }

    private static NodeSettings settings() throws IOException, GeneralSecurityException {
        return NodeSettings.newBuilder()
                .setTlsCertificateFile(authority.certificateFile("node").toString())
                .setTlsKeyFile(authority.keyFile("node").toString())
                .setTlsAuthorityFile(authority.authorityFile().toString())
                .build();
    }

    /** Records frames and failures. */
    private static final class Recorder implements MeshListener {
        final BlockingQueue<MeshFrame> frames = new LinkedBlockingQueue<>();
        final BlockingQueue<MeshException> failures = new LinkedBlockingQueue<>();

        @Override
        public void onFrame(MeshLink link, MeshFrame frame) {
            frames.add(frame);
        }

        @Override
        public void onUnsent(NodeId peer, MeshFrame frame, MeshException cause) {
            failures.add(cause);
        }

        @Override
        public void onLinkLost(NodeId peer, long lastUsedNanoseconds, MeshException cause) {
            failures.add(cause);
        }
    }
}
