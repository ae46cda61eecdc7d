package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers that are on their way to slow readers when a planned stop of their relay ends. */
class PlannedStopAnswersTest {
    private static final long STOP_MILLISECONDS = 4000;
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** Longer than the part of the stop in which new requests are accepted. */
    private static final long PAUSE_MILLISECONDS = STOP_MILLISECONDS / 2 + 500;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        upstream.setScript(
                (request, connection) ->
                        connection.send(
                                UpstreamStandIn.answer(
                                        request.id(), 200, "x".repeat(ANSWER_BYTES))));
        relay =
                new InProcessRelay(
                        "one",
                        "books",
                        upstream.address(),
                        fleet.store.address(),
                        STOP_MILLISECONDS);
        TestFleet.await(relay::isReady);
        relay.announce("i-1", 100, 1, "ready");
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    @Test
    void should_send_the_whole_answer_to_a_slow_caller_when_the_relay_stops() throws Exception {
        // given
        try (Socket caller = connect(relay.callers())) {
            caller.getOutputStream()
                    .write(RawCaller.post("/order/1", "r1", "").getBytes(StandardCharsets.UTF_8));
            TestFleet.await(() -> relay.log().contains("event=request-ended request=r1"));

            // when
            CompletableFuture<Void> stopped = relay.stop();
            int received = readLate(caller.getInputStream(), ANSWER_BYTES);

            // then
            assertThat(received).isAtLeast(ANSWER_BYTES);
            stopped.get();
        }
    }

    @Test
    void should_send_the_whole_answer_to_a_slow_entry_when_the_target_stops() throws Exception {
        // given
        try (Socket link = connect(relay.links())) {
            DataOutputStream output = new DataOutputStream(link.getOutputStream());
            LinkHello hello =
                    LinkHello.newBuilder()
                            .setNodeId("peer")
                            .setIncarnation(1)
                            .setExpectedNodeId("one")
                            .build();
            write(output, LinkFrame.newBuilder().setHello(hello));
            ForwardedCall call =
                    ForwardedCall.newBuilder()
                            .setSequence(1)
                            .setAttempt(1)
                            .setService("books")
                            .setMethod("POST")
                            .setTarget("/order/1")
                            .setCallerRequestId("r1")
                            .setRemainingMilliseconds(9000)
                            .setNonIdempotent(true)
                            .build();
            write(output, LinkFrame.newBuilder().setCall(call));
            TestFleet.await(() -> relay.log().contains("event=call-answered request=r1"));

            // when
            CompletableFuture<Void> stopped = relay.stop();
            DataInputStream input = new DataInputStream(link.getInputStream());
            int length = input.readInt();
            while (length < ANSWER_BYTES) {
                input.skipNBytes(length);
                length = input.readInt();
            }
            int received = readLate(input, length);

            // then
            assertThat(received).isEqualTo(length);
            stopped.get();
        }
    }

    @Test
    void should_end_within_the_stop_timeout_when_a_caller_reads_nothing() throws Exception {
        // given
        try (Socket caller = connect(relay.callers())) {
            caller.getOutputStream()
                    .write(RawCaller.get("/read/1", "r1").getBytes(StandardCharsets.UTF_8));
            TestFleet.await(() -> relay.log().contains("event=request-ended request=r1"));

            // when
            long started = System.nanoTime();
            relay.stop().get();

            // then
            assertThat((System.nanoTime() - started) / 1_000_000).isLessThan(STOP_MILLISECONDS);
        }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(address);
        return socket;
    }

    private static void write(DataOutputStream output, LinkFrame.Builder frame) throws IOException {
        byte[] bytes = frame.build().toByteArray();
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    /** Reads after a pause; returns how many bytes came before the connection ended. */
    private static int readLate(InputStream input, int limit) throws Exception {
        Thread.sleep(PAUSE_MILLISECONDS);
        byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
        int received = 0;
        try {
            while (received < limit) {
                int read = input.read(buffer, 0, Math.min(buffer.length, limit - received));
                if (read < 0) {
                    return received;
                }
                received += read;
            }
        } catch (IOException reset) {
            return received;
        }
        return received;
    }
}
