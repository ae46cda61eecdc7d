package org.damaskmoor.node;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.damaskmoor.node.fixture.RawClient;
import org.damaskmoor.node.fixture.TestNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class InvalidRequestTest {
    private static final String HOST = "Host: besuch.bern.example\r\n";
    private static final int OVERSIZED = TestNode.MAXIMUM_BODY_BYTES + 1;

    private static TestNode node;

    @BeforeAll
    static void start() throws IOException {
        node = TestNode.startWithoutPlatform(settings -> settings.setConnectionsPerCaller(20));
    }

    @AfterAll
    static void stop() {
        node.close();
    }

    private record InvalidRequest(String description, String request, int status, String reason) {
        @Override
        public String toString() {
            return description;
        }
    }

    private static InvalidRequest malformed(String description, String request) {
        return new InvalidRequest(description, request, 400, "malformed");
    }

    private static InvalidRequest tooLarge(String description, String request, int status) {
        return new InvalidRequest(description, request, status, "too-large");
    }

    private static String post(String fields, String body) {
        return "POST /visits HTTP/1.1\r\n" + HOST + fields + "\r\n" + body;
    }

    static Stream<InvalidRequest> invalidRequests() {
        return Stream.of(
                malformed("not HTTP", "\u0016\u0003\u0001 hello\r\n\r\n"),
                malformed("unknown method", "JUMP / HTTP/1.1\r\n" + HOST + "\r\n"),
                malformed("no version", "GET /visits\r\n" + HOST + "\r\n"),
                malformed("later version", "GET /visits HTTP/2.0\r\n" + HOST + "\r\n"),
                malformed("field without name", "GET / HTTP/1.1\r\n" + HOST + ": x\r\n\r\n"),
                malformed("space in name", "GET / HTTP/1.1\r\n" + HOST + "a b: x\r\n\r\n"),
                malformed("space before a colon", post("Content-Length : 1\r\n", "a")),
                malformed("line without a colon", "GET / HTTP/1.1\r\n" + HOST + "a\r\n\r\n"),
                malformed("bare CR", "GET / HTTP/1.1\r\n" + HOST + "A: x\ry: z\r\n\r\n"),
                malformed("NUL in a field", "GET / HTTP/1.1\r\n" + HOST + "A: \0\r\n\r\n"),
                malformed("no host", "GET /visits HTTP/1.1\r\n\r\n"),
                malformed("two hosts", "GET / HTTP/1.1\r\n" + HOST + "Host: b\r\n\r\n"),
                malformed("host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n"),
                malformed("two lengths", post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab")),
                malformed("list of lengths", post("Content-Length: 1, 1\r\n", "a")),
                malformed("negative length", post("Content-Length: -1\r\n", "a")),
                malformed("signed length", post("Content-Length: +1\r\n", "a")),
                malformed("huge length", post("Content-Length: 99999999999999999999\r\n", "a")),
                malformed(
                        "length and encoding",
                        post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")),
                malformed(
                        "unknown encoding",
                        post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")),
                malformed("truncated body", post("Content-Length: 10\r\n", "abc")),
                malformed("truncated chunks", post("Transfer-Encoding: chunked\r\n", "5\r\nab")),
                malformed("bad chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n")),
                malformed(
                        "not gzip",
                        post("Content-Encoding: gzip\r\nContent-Length: 12\r\n", "no gzip body")),
                tooLarge(
                        "body over the limit",
                        post("Content-Length: " + OVERSIZED + "\r\n", "a".repeat(OVERSIZED)),
                        413),
                tooLarge(
                        "declared length over the limit",
                        post("Content-Length: " + OVERSIZED + "\r\n", ""),
                        413),
                tooLarge(
                        "chunks over the limit",
                        post(
                                "Transfer-Encoding: chunked\r\n",
                                Integer.toHexString(OVERSIZED)
                                        + "\r\n"
                                        + "a".repeat(OVERSIZED)
                                        + "\r\n"),
                        413),
                tooLarge(
                        "long header",
                        "GET / HTTP/1.1\r\n" + HOST + "A: " + "a".repeat(70_000) + "\r\n\r\n",
                        431),
                tooLarge("long target", "GET /" + "a".repeat(70_000) + " HTTP/1.1\r\n\r\n", 431),
                tooLarge(
                        "many headers",
                        "GET / HTTP/1.1\r\n" + HOST + "A: b\r\n".repeat(1_000) + "\r\n",
                        431));
    }

    @ParameterizedTest
    @MethodSource("invalidRequests")
    void should_refuse_and_keep_serving_when_request_is_invalid(InvalidRequest invalid)
            throws IOException {
        // given
        String counter = refusalCounter(invalid.reason());
        double before = node.metric(counter);

        // when
        String answer;
        try (RawClient client = new RawClient(node.port())) {
            answer = client.send(invalid.request()).endOutput().readAll();
        }

        // then
        assertProblem(answer, invalid.status(), invalid.reason());
        assertThat(answer).contains("Connection: close");
        assertThat(node.metric(counter)).isEqualTo(before + 1);
        assertAcceptsRequests();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/visits/../routes",
                "/visits/./x",
                "/visits/..",
                "/visits/%2e%2E/routes",
                "/visits/.%2e/routes",
                "/visits/..;a=b/routes",
                "/visits/..%3Bx/routes",
                "/visits/%2Froutes",
                "/visits%5croutes",
                "/visits\\routes",
                "//routes",
                "/visits//routes",
                "/visits/%00",
                "/visits/\0",
                "/visits/%zz",
                "/visits/\u00e9",
                "/visits#x",
                "visits",
                "*",
                "http://besuch.bern.example/visits/../routes"
            })
    void should_refuse_when_path_is_ambiguous(String target) throws IOException {
        // when
        String answer = sendRequest("GET " + target + " HTTP/1.1\r\n" + HOST + "\r\n");

        // then
        assertProblem(answer, 400, "malformed");
        assertAcceptsRequests();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /visits HTTP/1.1\r\nHost: nobody.example\r\n\r\n",
                "GET /a..b/.c/%C3%A9;v=1?x=../y//z HTTP/1.1\r\nHost: nobody.example\r\n\r\n",
                "GET http://nobody.example/visits HTTP/1.1\r\nHost: nobody.example\r\n\r\n",
                "GET /visits HTTP/1.0\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
            })
    void should_answer_404_when_no_service_matches(String request) throws IOException {
        // when
        String answer;
        try (RawClient client = new RawClient(node.port())) {
            answer = client.send(request).readAnswer();
        }

        // then
        assertProblem(answer, 404, "unknown-service");
    }

    @Test
    void should_not_read_smuggled_request_when_length_is_ambiguous() throws IOException {
        // when
        String answer =
                sendRequest(
                        post(
                                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                "0\r\n\r\nGET /smuggled HTTP/1.1\r\n" + HOST + "\r\n"));

        // then
        assertThat(answer.split("HTTP/1.1 ", -1)).hasLength(2);
    }

    @Test
    void should_refuse_connection_when_caller_has_too_many() throws IOException {
        // given
        List<RawClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(new RawClient(node.port()));
        }

        // when
        String answer;
        try (RawClient client = new RawClient(node.port())) {
            answer = client.readAll();
        }

        // then
        assertProblem(answer, 429, "caller-over-share");
        clients.forEach(RawClient::close);
        TestNode.await("connections are accepted again", InvalidRequestTest::acceptsRequests);
    }

    private static void assertProblem(String answer, int status, String reason) {
        assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
        assertThat(answer).containsMatch("(?i)\r\ncontent-type: application/problem\\+json\r\n");
        assertThat(answer).containsMatch("(?i)\r\ndamaskmoor-outcome: not-run\r\n");
        JsonObject problem =
                JsonParser.parseString(answer.substring(answer.indexOf("\r\n\r\n")))
                        .getAsJsonObject();
        assertThat(problem.get("status").getAsInt()).isEqualTo(status);
        assertThat(problem.get("reason").getAsString()).isEqualTo(reason);
        assertThat(problem.keySet()).containsAtLeast("type", "title", "detail", "refusal_id");
    }

    private static void assertAcceptsRequests() {
        assertThat(acceptsRequests()).isTrue();
    }

    private static boolean acceptsRequests() {
        try (RawClient client = new RawClient(node.port())) {
            return client.send("GET / HTTP/1.1\r\nHost: nobody.example\r\n\r\n")
                    .readAnswer()
                    .startsWith("HTTP/1.1 404 ");
        } catch (IOException refused) {
            return false;
        }
    }

    private static String sendRequest(String request) throws IOException {
        try (RawClient client = new RawClient(node.port())) {
            return client.send(request).endOutput().readAll();
        }
    }

    private static String refusalCounter(String reason) {
        return "damaskmoor_requests_refused_total{reason=\"" + reason + "\"}";
    }
}
