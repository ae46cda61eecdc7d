package org.damaskmoor.relay.internal.link;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.time.EventLoopTimers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.QuotaReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OutgoingLinkTest {
    private static final int CLOSE_TIMEOUT_MILLISECONDS = 5000;

    private static final LinkFrame HELLO = hello(1);
    private static final LinkFrame UNCONFIGURED_HELLO = hello(0);

    private static final LinkFrame CONFIGURATION =
            LinkFrame.newBuilder()
                    .setFleetNews(
                            FleetNews.newBuilder()
                                    .setConfiguration(ByteString.copyFromUtf8("configuration")))
                    .build();

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final RecordingLinkListener listener = new RecordingLinkListener();
    private final AtomicInteger closed = new AtomicInteger();
    private ServerSocket target;
    private OutgoingLink link;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        link =
                new OutgoingLink(
                        new NodeId("target"),
                        (InetSocketAddress) target.getLocalSocketAddress(),
                        new Bootstrap().group(group).channel(NioSocketChannel.class),
                        () -> HELLO,
                        () -> CONFIGURATION,
                        new EventLoopTimers(group.next()),
                        listener,
                        new ConnectionFailureLog(new SilentLog(), "outgoing-link"));
    }

    @AfterEach
    void stop() throws Exception {
        group.submit(link::close).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        target.close();
    }

    /** An outcome is that of a call; calls are written only after the target has said who it is. */
    @Test
    void should_ignore_an_outcome_and_close_when_it_comes_before_the_hello() throws Exception {
        // when
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            write(connection, answer(1), HELLO, answer(2));

            // then
            assertThat(isClosed(connection)).isTrue();
        }
        assertThat(listener.answered).isEmpty();
    }

    @Test
    void should_report_an_outcome_when_it_comes_after_the_hello() throws Exception {
        // when
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            write(connection, HELLO, answer(2));

            // then
            TestFleet.await(() -> !listener.answered.isEmpty());
        }
        assertThat(listener.answered).containsExactly(2L);
    }

    /**
     * A request that is not sent again waits for its seal. If only the next call opened the link,
     * the seal would time out at a node that sends no calls, and the caller get no answer.
     */
    @Test
    void should_open_again_without_a_further_call_when_a_seal_waits_for_the_connection()
            throws Exception {
        // given a connection that is lost
        target.setSoTimeout(CLOSE_TIMEOUT_MILLISECONDS);
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            write(connection, HELLO);
            TestFleet.await(link::isUp);
        }
        TestFleet.await(link::isFailing);

        // when
        group.submit(() -> link.send(CallSeal.newBuilder().setSequence(7).build())).get();

        // then
        try (Socket next = target.accept()) {
            assertThat(readFrame(next).hasHello()).isTrue();
            write(next, HELLO);
            assertThat(readFrame(next).getSeal().getSequence()).isEqualTo(7);
        }
    }

    /** Guards against calls at a target that doesn't know the limits of its upstream. */
    @Test
    void should_send_the_configuration_before_the_first_call_when_the_target_has_none()
            throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            write(connection, UNCONFIGURED_HELLO);
            TestFleet.await(() -> group.submit(link::isUp).get());
            assertThat(readFrame(connection).hasHello()).isTrue();

            // when
            group.submit(() -> link.send(call(1))).get();
            group.submit(() -> link.send(call(2))).get();

            // then
            assertThat(readFrame(connection)).isEqualTo(CONFIGURATION);
            assertThat(readFrame(connection).getCall().getSequence()).isEqualTo(1);
            assertThat(readFrame(connection).getCall().getSequence()).isEqualTo(2);
        }
    }

    /** Guards against answers that are lost because their node is no longer a member. */
    @Test
    void should_report_outcomes_of_earlier_calls_and_then_close_when_it_is_retired()
            throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1, 2);

            // when
            retire();

            // then
            write(connection, answer(1));
            TestFleet.await(() -> listener.answered.contains(1L));
            assertThat(closed.get()).isEqualTo(0);
            write(connection, answer(2));
            TestFleet.await(() -> listener.answered.contains(2L));
            TestFleet.await(() -> closed.get() == 1);
            assertThat(isClosed(connection)).isTrue();
        }
    }

    @Test
    void should_take_no_call_when_it_is_retired() throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);

            // when
            retire();
            group.submit(() -> link.send(call(2))).get();

            // then
            TestFleet.await(() -> listener.unsent.contains(2L));
        }
    }

    @Test
    void should_report_calls_as_unsent_and_close_when_it_is_retired_before_the_hello()
            throws Exception {
        // given
        group.submit(() -> link.send(call(1))).get();

        // when
        retire();

        // then
        TestFleet.await(() -> listener.unsent.contains(1L) && closed.get() == 1);
    }

    /** The last call may be one whose caller waits no longer, so that no outcome follows. */
    @Test
    void should_close_when_it_is_retired_and_its_last_call_is_cancelled() throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);
            retire();

            // when
            group.submit(() -> link.send(CallCancel.newBuilder().setSequence(1).build())).get();

            // then
            TestFleet.await(() -> closed.get() == 1);
        }
    }

    /** Guards against bookings without an outcome when trouble comes twice. */
    @Test
    void should_ask_for_lost_outcomes_over_a_new_connection_when_it_is_retired() throws Exception {
        // given
        target.setSoTimeout(CLOSE_TIMEOUT_MILLISECONDS);
        listener.sealLostCalls = true;
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);
            retire();
        }

        // when
        try (Socket next = target.accept()) {
            assertThat(readFrame(next).hasHello()).isTrue();
            write(next, HELLO);

            // then
            assertThat(readFrame(next).getSeal().getSequence()).isEqualTo(1);
            write(next, answer(1));
            TestFleet.await(() -> listener.answered.contains(1L) && closed.get() == 1);
        }
        assertThat(listener.hellos.get()).isEqualTo(1);
    }

    /** Guards against links that are kept for ever. */
    @Test
    void should_close_when_it_is_retired_and_its_target_is_gone() throws Exception {
        // given
        listener.sealLostCalls = true;
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);
            retire();

            // when
            target.close();
        }

        // then
        TestFleet.await(() -> closed.get() == 1);
    }

    @Test
    void should_close_when_it_is_retired_and_its_target_is_silent() throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);

            // when
            retire();

            // then
            TestFleet.await(() -> closed.get() == 1);
        }
    }

    /** A second connection to the same node would end the first one, and the calls on it. */
    @Test
    void should_take_calls_over_the_same_connection_when_it_is_reinstated() throws Exception {
        // given
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            sendCalls(connection, 1);
            retire();

            // when
            group.submit(link::reinstate).get();
            group.submit(() -> link.send(call(2))).get();

            // then
            assertThat(readFrame(connection).getCall().getSequence()).isEqualTo(2);
            write(connection, answer(2), answer(1));
            TestFleet.await(() -> listener.answered.equals(List.of(2L, 1L)));
            assertThat(group.submit(link::isUp).get()).isTrue();
            assertThat(listener.loads.get()).isEqualTo(1);
            assertThat(closed.get()).isEqualTo(0);
        }
    }

    /** Sends calls over a new connection, and reads them at its other end. */
    private void sendCalls(Socket connection, long... sequences) throws Exception {
        write(connection, HELLO);
        TestFleet.await(() -> group.submit(link::isUp).get());
        assertThat(readFrame(connection).hasHello()).isTrue();
        for (long sequence : sequences) {
            group.submit(() -> link.send(call(sequence))).get();
            assertThat(readFrame(connection).getCall().getSequence()).isEqualTo(sequence);
        }
    }

    private void retire() throws Exception {
        group.submit(() -> link.retire(() -> closed.incrementAndGet())).get();
    }

    private static ForwardedCall call(long sequence) {
        return ForwardedCall.newBuilder().setSequence(sequence).build();
    }

    private static LinkFrame readFrame(Socket connection) throws IOException {
        DataInputStream input = new DataInputStream(connection.getInputStream());
        byte[] frame = new byte[input.readInt()];
        input.readFully(frame);
        return LinkFrame.parseFrom(frame);
    }

    /** Guards against a stalled link without calls, over which a coordinator stays unreachable. */
    @Test
    void should_close_when_a_report_is_followed_by_silence() throws Exception {
        // when
        group.submit(link::open).get();
        try (Socket connection = target.accept()) {
            write(connection, HELLO);
            TestFleet.await(() -> group.submit(link::isUp).get());
            group.submit(() -> link.send(QuotaReport.getDefaultInstance())).get();

            // then
            assertThat(isClosed(connection)).isTrue();
        }
    }

    private static boolean isClosed(Socket connection) throws IOException {
        connection.setSoTimeout(CLOSE_TIMEOUT_MILLISECONDS);
        try {
            while (connection.getInputStream().read() >= 0) {
                // The hello of the link.
            }
        } catch (SocketTimeoutException stillOpen) {
            return false;
        } catch (SocketException reset) {
            // Closed with unread bytes.
        }
        return true;
    }

    private static LinkFrame hello(long configurationVersion) {
        return LinkFrame.newBuilder()
                .setHello(
                        LinkHello.newBuilder()
                                .setNodeId("target")
                                .setIncarnation(1)
                                .setConfigurationVersion(configurationVersion))
                .build();
    }

    private static LinkFrame answer(long sequence) {
        return LinkFrame.newBuilder()
                .setAnswer(ForwardedAnswer.newBuilder().setSequence(sequence))
                .build();
    }

    private static void write(Socket connection, LinkFrame... frames) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        for (LinkFrame frame : frames) {
            output.writeInt(frame.getSerializedSize());
            frame.writeTo(output);
        }
        connection.getOutputStream().write(bytes.toByteArray());
    }
}
