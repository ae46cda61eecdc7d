package org.damaskmoor.node;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.zip.GZIPOutputStream;
import org.damaskmoor.node.fixture.FakeTableService;
import org.damaskmoor.node.fixture.FakeUpstream;
import org.damaskmoor.node.fixture.RawClient;
import org.damaskmoor.node.fixture.TestNode;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ResponseForwardingTest {
    private static final String HOST = " HTTP/1.1\r\nHost: besuch.bern.example\r\n";
    private static final int CALLERS = 6;
    private static final int REQUESTS = 300;
    private static final int SMALLEST_BUFFER = 64;
    private static final int LARGEST_BUFFER = 64 * 1024;
    private static final CountDownLatch RELEASED = new CountDownLatch(1);

    private static FakeTableService tables;
    private static TestNode node;
    private static FakeUpstream upstream;

    @BeforeAll
    static void start() throws IOException {
        tables =
                new FakeTableService(
                        ServiceConfiguration.newBuilder()
                                .setName("besuch")
                                .addHosts("besuch.bern.example")
                                .build());
        node = TestNode.start(tables.url(), settings -> {});
        upstream = new FakeUpstream(node, "besuch", ResponseForwardingTest::answer);
        TestNode.await("requests are answered", () -> sendRequest("GET /body").contains(" 200 "));
    }

    @AfterAll
    static void stop() {
        RELEASED.countDown();
        upstream.close();
        node.close();
        tables.close();
    }

    private static void answer(HttpExchange exchange) throws IOException {
        byte[] received = exchange.getRequestBody().readAllBytes();
        switch (exchange.getRequestURI().getPath()) {
            case "/echo" -> send(exchange, 200, received);
            case "/gzip" -> {
                exchange.getResponseHeaders().set("Content-Encoding", "gzip");
                send(exchange, 200, gzip("packed".getBytes(StandardCharsets.UTF_8)));
            }
            case "/nonce" -> {
                String nonce = exchange.getRequestHeaders().getFirst("Nonce");
                send(exchange, 200, String.valueOf(nonce).getBytes(StandardCharsets.UTF_8));
            }
            case "/204" -> exchange.sendResponseHeaders(204, -1);
            case "/304" -> exchange.sendResponseHeaders(304, -1);
            case "/wait" -> {
                awaitRelease();
                send(exchange, 200, new byte[0]);
            }
            case "/split" -> {
                exchange.getResponseHeaders().set("X-Plain", "kept");
                OutputStream raw = exchange.getResponseBody();
                exchange.getResponseHeaders().add("X-Bare", "a\u007fb\u0001c");
                exchange.sendResponseHeaders(200, 2);
                raw.write("ok".getBytes(StandardCharsets.UTF_8));
            }
            default -> send(exchange, 200, "hello".getBytes(StandardCharsets.UTF_8));
        }
        exchange.close();
    }

    private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        if (exchange.getRequestMethod().equals("HEAD")) {
            exchange.getResponseHeaders().set("Content-Length", Integer.toString(body.length));
            exchange.sendResponseHeaders(status, -1);
            return;
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private static void awaitRelease() {
        try {
            RELEASED.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] gzip(byte[] uncompressed) throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(uncompressed);
        }
        return compressed.toByteArray();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HEAD /body", "GET /204", "GET /304"})
    void should_keep_requests_and_responses_paired_when_response_has_no_body(String request)
            throws IOException {
        // given
        try (RawClient client = new RawClient(node.port())) {
            // when
            String first = client.send(request + HOST + "\r\n").readHead();
            String second = client.send("GET /body" + HOST + "\r\n").readAnswer();

            // then
            assertThat(first).doesNotContain("hello");
            assertThat(first.contains("Content-Length: 5")).isEqualTo(request.startsWith("HEAD"));
            assertThat(first.contains("Content-Length: 0")).isFalse();
            assertThat(second).endsWith("\r\n\r\nhello");
        }
    }

    @Test
    void should_forward_headers_unchanged_while_other_threads_use_buffers() throws Exception {
        // given another thread that allocates and recycles pooled buffers of the HTTP library
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS + 1);
        AtomicBoolean stopped = new AtomicBoolean();
        callers.execute(() -> useBuffersUntil(stopped));

        // when
        List<Future<List<String>>> wrong = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String name = "caller-" + i;
            wrong.add(callers.submit(() -> wrongNonces(name)));
        }

        // then
        for (Future<List<String>> found : wrong) {
            assertThat(found.get()).isEmpty();
        }
        stopped.set(true);
        callers.shutdown();
    }

    private static void useBuffersUntil(AtomicBoolean stopped) {
        while (!stopped.get()) {
            for (int size = SMALLEST_BUFFER; size <= LARGEST_BUFFER; size *= 2) {
                ByteBuf buffer = ByteBufPool.allocate(size);
                Arrays.fill(buffer.array(), (byte) '?');
                buffer.recycle();
            }
        }
    }

    private static List<String> wrongNonces(String name) throws Exception {
        List<String> wrong = new ArrayList<>();
        try (RawClient client = new RawClient(node.port())) {
            for (int i = 0; i < REQUESTS; i++) {
                String nonce = name + "-" + i;
                client.send("POST /nonce" + HOST + "Nonce: " + nonce + "\r\nContent-Length: 20");
                client.send("\r\n\r\n0123456789abcdefghij");
                String answer = client.readAnswer();
                if (!answer.endsWith("\r\n\r\n" + nonce)) {
                    wrong.add(answer);
                }
            }
        }
        return wrong;
    }

    @Test
    void should_return_complete_decoded_body_when_upstream_sends_gzip() {
        // when
        String answer = sendRequest("GET /gzip");

        // then
        assertThat(answer).endsWith("\r\n\r\npacked");
        assertThat(answer).doesNotContainMatch("(?i)content-encoding");
    }

    @Test
    void should_forward_decoded_body_when_caller_sends_gzip() throws IOException {
        // given
        byte[] body = gzip("packed request".getBytes(StandardCharsets.UTF_8));

        // when
        String answer;
        try (RawClient client = new RawClient(node.port())) {
            client.send("POST /echo" + HOST + "Content-Encoding: gzip\r\n");
            answer =
                    client.send("Content-Length: " + body.length + "\r\n\r\n")
                            .send(body)
                            .readAnswer();
        }

        // then
        assertThat(answer).endsWith("\r\n\r\npacked request");
    }

    @Test
    void should_forward_whole_body_when_caller_sends_chunks() throws IOException {
        // when
        String answer;
        try (RawClient client = new RawClient(node.port())) {
            client.send("POST /echo" + HOST + "Transfer-Encoding: chunked\r\n\r\n");
            answer = client.send("3\r\nabc\r\n").send("2;x=y\r\nde\r\n0\r\n\r\n").readAnswer();
        }

        // then
        assertThat(answer).endsWith("\r\n\r\nabcde");
    }

    @Test
    void should_sanitize_headers_when_upstream_sends_control_characters() {
        // when
        String answer = sendRequest("GET /split");

        // then
        assertThat(answer).containsMatch("(?i)x-plain: kept\r\n");
        assertThat(answer).containsMatch("(?i)x-bare: a b c\r\n");
    }

    @Test
    void should_close_request_when_caller_disconnects() throws IOException {
        // given
        int before = upstream.started.get();
        RawClient client = new RawClient(node.port()).send("GET /wait" + HOST + "\r\n");
        TestNode.await("the request runs", () -> upstream.started.get() == before + 1);
        assertThat(node.metric("damaskmoor_open_requests")).isEqualTo(1.0);

        // when
        client.close();

        // then
        TestNode.await("the request is closed", () -> node.metric("damaskmoor_open_requests") == 0);
    }

    private static String sendRequest(String request) {
        try (RawClient client = new RawClient(node.port())) {
            return client.send(request + HOST + "\r\n").readAnswer();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
