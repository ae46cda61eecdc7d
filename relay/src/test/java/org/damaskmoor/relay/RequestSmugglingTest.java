package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests whose end, or whose headers, a caller and a server may take to be different ones. */
class RequestSmugglingTest {
    private static final int BAD_REQUEST = 400;
    private static final String INNER = RawCaller.get("/read/inner", "inner");
    private static final String CHUNKED_INNER = "0\r\n\r\n" + INNER;

    private static TestFleet fleet;
    private static UpstreamStandIn upstream;
    private static InProcessRelay relay;

    @BeforeAll
    static void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        relay = fleet.relay("one", upstream);
    }

    @AfterAll
    static void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    private record Ambiguous(String description, String request) {
        @Override
        public String toString() {
            return description;
        }
    }

    private static Ambiguous head(String description, String requestLine, String headers) {
        return new Ambiguous(
                description,
                requestLine
                        + "\r\nHost: shop.example\r\nRequest-Id: outer\r\n"
                        + headers
                        + "\r\n\r\n");
    }

    private static Ambiguous body(String description, String headers, String body) {
        Ambiguous head = head(description, "POST /order/outer HTTP/1.1", headers);
        return new Ambiguous(description, head.request() + body);
    }

    static Stream<Ambiguous> ambiguousLengths() {
        String length = "Content-Length: " + INNER.length();
        return Stream.of(
                body(
                        "length and chunks",
                        "Content-Length: "
                                + CHUNKED_INNER.length()
                                + "\r\nTransfer-Encoding: chunked",
                        CHUNKED_INNER),
                body(
                        "chunks and length",
                        "Transfer-Encoding: chunked\r\nContent-Length: " + CHUNKED_INNER.length(),
                        CHUNKED_INNER),
                body("two lengths", "Content-Length: 0\r\n" + length, INNER),
                body("list of lengths", "Content-Length: 0, " + INNER.length(), INNER),
                body("signed length", "Content-Length: +" + INNER.length(), INNER),
                body("negative length", "Content-Length: -1", INNER),
                body("length that is no number", "Content-Length: 0x0", INNER),
                body("length with a space in it", "Content-Length: 1 0", INNER),
                body("space before the colon of the length", "Content-Length : 0", INNER),
                body("tab before the colon of the length", "Content-Length\t: 0", INNER));
    }

    static Stream<Ambiguous> ambiguousEncodings() {
        return Stream.of(
                body("unknown encoding", "Transfer-Encoding: gzip", INNER),
                body(
                        "unknown encoding before chunks",
                        "Transfer-Encoding: gzip, chunked",
                        CHUNKED_INNER),
                body(
                        "encoding after chunks",
                        "Transfer-Encoding: chunked, identity",
                        CHUNKED_INNER),
                body("chunks twice", "Transfer-Encoding: chunked, chunked", CHUNKED_INNER),
                body("misspelt chunks", "Transfer-Encoding: xchunked", CHUNKED_INNER),
                body(
                        "vertical tab before chunks",
                        "Transfer-Encoding: \u000bchunked",
                        CHUNKED_INNER),
                body(
                        "space before the colon of the encoding",
                        "Transfer-Encoding : chunked",
                        CHUNKED_INNER),
                body(
                        "two encodings",
                        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
                        CHUNKED_INNER),
                new Ambiguous(
                        "chunks in a version without them",
                        "POST /order/outer HTTP/1.0\r\nHost: shop.example\r\n"
                                + "Request-Id: outer\r\nConnection: keep-alive\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + CHUNKED_INNER),
                body("bare LF after a chunk size", "Transfer-Encoding: chunked", "0\n\r\n" + INNER),
                body(
                        "bare LF in a chunk extension",
                        "Transfer-Encoding: chunked",
                        "1;\nab\r\n" + CHUNKED_INNER),
                body("signed chunk size", "Transfer-Encoding: chunked", "+0\r\n\r\n" + INNER),
                body("hexadecimal prefix", "Transfer-Encoding: chunked", "0x0\r\n\r\n" + INNER),
                body("negative chunk size", "Transfer-Encoding: chunked", "-1\r\n\r\n" + INNER),
                body(
                        "chunk longer than its size",
                        "Transfer-Encoding: chunked",
                        "1\r\nabc\r\n" + CHUNKED_INNER));
    }

    static Stream<Ambiguous> ambiguousHeads() {
        String get = "GET /read/outer HTTP/1.1";
        return Stream.of(
                head("line without a colon", get, "no colon"),
                head("header without a name", get, ": value"),
                head("name with a space", get, "X Y: z"),
                head("NUL in a value", get, "X: a\0b"),
                head("bare CR in a value", get, "X: a\rRequest-Id: inner"),
                head("two hosts", get, "Host: other.example"),
                head("two ids", get, "Request-Id: inner"),
                head("no version", "GET /read/outer", "X: y"),
                head("space in the path", "GET /read/outer x HTTP/1.1", "X: y"),
                head("request line in the path", "GET /read/outer\rGET HTTP/1.1", "X: y"));
    }

    @ParameterizedTest
    @MethodSource({"ambiguousLengths", "ambiguousEncodings", "ambiguousHeads"})
    void should_refuse_and_close_when_a_request_is_ambiguous(Ambiguous ambiguous) throws Exception {
        int before = upstream.requests().size();

        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer = caller.exchange(ambiguous.request());

            // then
            assertThat(answer.status()).isEqualTo(BAD_REQUEST);
            assertThat(caller.isClosed()).isTrue();
        }
        assertRan(before, List.of());
    }

    /** A recipient may unfold a header, but must not pass it on folded (RFC 9112, section 5.2). */
    @Test
    void should_pass_on_a_folded_header_as_one_line() throws Exception {
        int before = upstream.requests().size();

        // when
        try (RawCaller caller = relay.caller()) {
            caller.exchange(
                    head("folded", "GET /read/outer HTTP/1.1", "X: y\r\n Request-Id: inner")
                            .request());
        }

        // then
        assertRan(before, List.of("outer"));
        assertThat(upstream.requests().get(before).headers().get("x"))
                .isEqualTo("y Request-Id: inner");
    }

    @Test
    void should_pass_on_one_request_when_a_header_contains_another() throws Exception {
        int before = upstream.requests().size();
        String oneLine = INNER.replace("\r\n", " ");

        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer =
                    caller.exchange(
                            "GET /read/outer HTTP/1.1\r\nHost: shop.example\r\n"
                                    + "Request-Id: outer\r\nX: "
                                    + oneLine
                                    + "\r\n\r\n");

            // then
            assertThat(answer.body()).isEqualTo("answer to outer");
        }
        assertRan(before, List.of("outer"));
    }

    @Test
    void should_pass_on_one_request_when_its_body_contains_another() throws Exception {
        int before = upstream.requests().size();

        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer =
                    caller.exchange(RawCaller.post("/order/outer", "outer", INNER));
            RawCaller.Answer next = caller.exchange(RawCaller.get("/read/next", "next"));

            // then
            assertThat(answer.body()).isEqualTo("answer to outer");
            assertThat(next.body()).isEqualTo("answer to next");
        }
        assertRan(before, List.of("outer", "next"));
        assertThat(upstream.requests().get(before).body()).isEqualTo(INNER);
    }

    @Test
    void should_run_nothing_when_a_request_is_cut_and_its_caller_goes() throws Exception {
        int before = upstream.requests().size();
        String whole = RawCaller.post("/order/outer", "outer", "body");

        // when
        for (int length = 1; length < whole.length(); length++) {
            try (RawCaller caller = relay.caller()) {
                caller.send(whole.substring(0, length));
            }
        }

        // then
        try (RawCaller caller = relay.caller()) {
            assertThat(caller.exchange(RawCaller.get("/read/next", "next")).body())
                    .isEqualTo("answer to next");
        }
        assertRan(before, List.of("next"));
    }

    @Test
    void should_take_the_next_request_for_the_rest_of_a_body_that_is_too_short() throws Exception {
        int before = upstream.requests().size();
        String tooShort =
                "POST /order/outer HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: outer\r\n"
                        + "Content-Length: "
                        + INNER.length()
                        + "\r\n\r\n";

        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer = caller.exchange(tooShort + INNER);

            // then
            assertThat(answer.body()).isEqualTo("answer to outer");
        }
        assertRan(before, List.of("outer"));
    }

    @Test
    void should_refuse_the_rest_when_a_body_is_longer_than_its_length() throws Exception {
        int before = upstream.requests().size();

        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer =
                    caller.exchange(
                            RawCaller.post("/order/outer", "outer", "body") + "xy " + INNER);

            // then
            assertThat(answer.body()).isEqualTo("answer to outer");
            assertThat(caller.readAnswer().status()).isEqualTo(BAD_REQUEST);
            assertThat(caller.isClosed()).isTrue();
        }
        assertRan(before, List.of("outer"));
    }

    /** Checks which requests the upstream got after the first {@code before}, in order. */
    private static void assertRan(int before, List<String> ids) throws IOException {
        List<UpstreamStandIn.Request> requests = upstream.requests();
        assertWithMessage("requests at the upstream")
                .that(
                        requests.subList(before, requests.size()).stream()
                                .map(UpstreamStandIn.Request::id)
                                .toList())
                .isEqualTo(ids);
    }
}
