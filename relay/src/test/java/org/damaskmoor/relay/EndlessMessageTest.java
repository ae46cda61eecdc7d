package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages without an end, from upstreams, callers and peers: each ends at a bound. */
class EndlessMessageTest {
    private static final int MEGABYTE = 1024 * 1024;

    /** The bound of an answer, plus what the sockets of both sides buffer. */
    private static final long MAX_TAKEN_BYTES = (8 + 16) * MEGABYTE;

    /** Time in which a bound must take effect; the route's timeout is 2 s. */
    private static final long MAX_MILLISECONDS = 1500;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;
    private final AtomicLong sentBytes = new AtomicLong();

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        relay = fleet.relay("one", upstream);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    @Test
    void should_end_at_a_bound_when_a_body_without_length_has_no_end() throws Exception {
        expectUnknownAtBound("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", "x".repeat(8000));
    }

    @Test
    void should_end_at_a_bound_when_a_chunked_body_has_no_end() throws Exception {
        expectUnknownAtBound(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1f40\r\n" + "x".repeat(8000) + "\r\n");
    }

    @Test
    void should_end_at_once_when_the_announced_length_exceeds_the_bound() throws Exception {
        // given
        sendEndlessly(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9000000000\r\n\r\n",
                "x".repeat(8000));

        // when, then
        assertThat(exchange().status()).isEqualTo(502);
        assertThat(sentBytes.get()).isAtMost(16L * MEGABYTE);
    }

    @Test
    void should_end_at_a_bound_when_a_foreign_answer_has_no_end() throws Exception {
        expectUnknownAtBound("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x".repeat(8000));
    }

    @Test
    void should_end_at_a_bound_when_foreign_answers_have_no_end() throws Exception {
        expectUnknownAtBound(
                "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void should_end_at_a_bound_when_interim_answers_have_no_end() throws Exception {
        expectUnknownAtBound("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
    }

    @Test
    void should_end_at_a_bound_when_headers_have_no_end() throws Exception {
        expectUnknownAtBound("HTTP/1.1 200 OK\r\n", "X-Filler: " + "x".repeat(1000) + "\r\n");
    }

    @Test
    void should_end_at_a_bound_when_trailers_have_no_end() throws Exception {
        expectUnknownAtBound(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Filler: " + "x".repeat(1000) + "\r\n");
    }

    @Test
    void should_end_at_a_bound_when_a_chunk_size_has_no_end() throws Exception {
        expectUnknownAtBound(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                "x".repeat(1000));
    }

    @Test
    void should_end_at_a_bound_when_bytes_that_are_not_http_have_no_end() throws Exception {
        expectUnknownAtBound("", "\u0001\u0002 nonsense\r\n");
    }

    @Test
    void should_end_at_a_bound_when_empty_lines_have_no_end() throws Exception {
        expectUnknownAtBound("", "\r\n".repeat(500));
    }

    @Test
    void should_close_an_idle_connection_when_interim_answers_have_no_end() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    UpstreamStandIn.answerOk(request, connection);
                    Thread.sleep(100);
                    writeEndlessly(connection.socket(), "HTTP/1.1 103 Early Hints\r\n\r\n");
                });

        // when
        assertThat(exchange().status()).isEqualTo(200);

        // then
        TestFleet.await(() -> sentBytes.get() > 0);
        Thread.sleep(300);
        long sent = sentBytes.get();
        Thread.sleep(200);
        assertThat(sentBytes.get()).isEqualTo(sent);
    }

    @Test
    void should_keep_serving_when_a_health_answer_has_no_end() throws Exception {
        // given
        upstream.setHealthScript(
                connection ->
                        writeEndlessly(
                                connection.socket(),
                                "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n\r\n",
                                "x".repeat(8000)));
        Thread.sleep(50);

        // when, then
        for (int i = 0; i < 5; i++) {
            assertThat(exchange().status()).isEqualTo(200);
            Thread.sleep(30);
        }
        assertThat(sentBytes.get()).isAtMost(5 * 8L * MEGABYTE);
    }

    @Test
    void should_forward_a_large_proper_answer_completely() throws Exception {
        // given
        String body = "y".repeat(7 * MEGABYTE);
        upstream.setScript(
                (request, connection) ->
                        connection.send(UpstreamStandIn.answer(request.id(), 200, body)));

        // when, then
        assertThat(exchange().body()).isEqualTo(body);
    }

    @Test
    void should_forward_all_large_answers_completely_when_many_arrive_at_once() throws Exception {
        // given
        String body = "y".repeat(5 * MEGABYTE);
        upstream.setScript(
                (request, connection) ->
                        connection.send(UpstreamStandIn.answer(request.id(), 200, body)));

        // when
        List<CompletableFuture<RawCaller.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            String request = RawCaller.post("/order/1", "large-" + i, "body");
            answers.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try (RawCaller caller = relay.caller()) {
                                    return caller.exchange(request);
                                } catch (IOException failure) {
                                    throw new IllegalStateException(failure);
                                }
                            }));
        }

        // then
        for (CompletableFuture<RawCaller.Answer> answer : answers) {
            assertThat(answer.get(10, TimeUnit.SECONDS).body()).isEqualTo(body);
        }
    }

    @Test
    void should_close_a_link_when_a_stranger_announces_a_large_first_frame() throws Exception {
        // given
        try (Socket socket = new Socket(relay.links().getAddress(), relay.links().getPort())) {
            socket.setSoTimeout(3000);
            byte[] frame = new byte[1024];
            frame[0] = 4;

            // when
            socket.getOutputStream().write(frame);

            // then
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(exchange().status()).isEqualTo(200);
    }

    @Test
    void should_refuse_a_caller_when_its_chunked_body_has_no_end() throws Exception {
        // when, then
        try (RawCaller caller = relay.caller()) {
            caller.send(
                    "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 13; i++) {
                caller.send("1f40\r\n" + "x".repeat(8000) + "\r\n");
            }
            assertThat(caller.readAnswer().status()).isEqualTo(413);
        }
        assertThat(upstream.requests()).isEmpty();
    }

    private void expectUnknownAtBound(String head, String repeated) throws Exception {
        // given
        sendEndlessly(head, repeated);
        long started = System.nanoTime();

        // when
        RawCaller.Answer answer = exchange();

        // then
        assertThat(answer.status()).isEqualTo(502);
        assertThat((System.nanoTime() - started) / 1_000_000).isAtMost(MAX_MILLISECONDS);
        assertThat(upstream.runCount("r1")).isEqualTo(1);
        Thread.sleep(200);
        assertThat(sentBytes.get()).isAtMost(MAX_TAKEN_BYTES);
    }

    private void sendEndlessly(String head, String repeated) {
        upstream.setScript(
                (request, connection) -> writeEndlessly(connection.socket(), head, repeated));
    }

    private void writeEndlessly(Socket socket, String repeated) throws IOException {
        writeEndlessly(socket, "", repeated);
    }

    private void writeEndlessly(Socket socket, String head, String repeated) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(head.getBytes(StandardCharsets.UTF_8));
        byte[] part = repeated.getBytes(StandardCharsets.UTF_8);
        while (sentBytes.get() < 300L * MEGABYTE) {
            output.write(part);
            sentBytes.addAndGet(part.length);
        }
    }

    private RawCaller.Answer exchange() throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.post("/order/1", "r1", "body"));
        }
    }
}
