package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers whose body is cut, and followed by another answer on the same connection. */
class JoinedBodyTest {
    private static final int BAD_GATEWAY = 502;
    private static final int OK = 200;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;

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

    /** Guards against a body whose missing end is taken from the next answer. */
    @Test
    void should_not_complete_a_cut_body_with_the_bytes_of_a_second_answer() throws Exception {
        String body = "a body that is longer than the shortest status line";
        for (int missing = 1; missing <= body.length(); missing++) {
            String id = String.format("cut-%03d", missing);
            String whole = UpstreamStandIn.answer(id, OK, body);
            String cut = whole.substring(0, whole.length() - missing);
            upstream.setScript(
                    (request, connection) -> {
                        connection.send(cut);
                        Thread.sleep(5);
                        connection.send(whole);
                    });

            // when
            RawCaller.Answer answer = sendRequest(id);

            // then
            assertWithMessage("with %s bytes missing", missing)
                    .that(answer.status())
                    .isEqualTo(BAD_GATEWAY);
        }
    }

    /** Guards against a cut body when little of the second answer has arrived behind it. */
    @Test
    void should_not_complete_a_cut_body_with_the_start_of_a_status_line() throws Exception {
        int statusLineStart = "HTTP/1.1 200".length();
        for (int missing = 1; missing < statusLineStart - 1; missing++) {
            String id = String.format("few-%03d", missing);
            String whole = UpstreamStandIn.answer(id, OK, "a body that is cut");
            String cut = whole.substring(0, whole.length() - missing);
            String arrived = whole.substring(0, missing + 1);
            upstream.setScript((request, connection) -> connection.send(cut + arrived));

            // when
            RawCaller.Answer answer = sendRequest(id);

            // then
            assertWithMessage("with %s bytes missing", missing)
                    .that(answer.status())
                    .isEqualTo(BAD_GATEWAY);
        }
    }

    /** Guards against a cut body whose missing end is the end of a read. */
    @Test
    void should_not_complete_a_cut_body_where_a_read_ends() throws Exception {
        int missing = 200;
        for (int readBytes : new int[] {1024, 2048, 4096, 6144}) {
            String id = String.format("read-%05d", readBytes);
            String longer = UpstreamStandIn.answer(id, OK, "a".repeat(readBytes));
            int headBytes = longer.length() - readBytes;
            String head = longer.substring(0, headBytes);
            String body = "a".repeat(readBytes - headBytes);
            String whole = head.replace(": " + readBytes, ": " + padded(body.length())) + body;
            String cut = whole.substring(0, readBytes - missing);
            upstream.setScript((request, connection) -> connection.send(cut + whole));

            // when
            RawCaller.Answer answer = sendRequest(id);

            // then
            assertWithMessage("with %s bytes read", readBytes)
                    .that(answer.status())
                    .isEqualTo(BAD_GATEWAY);
        }
    }

    /** Guards against a body without a length that a second answer was appended to. */
    @Test
    void should_not_take_a_second_answer_for_the_end_of_a_body_without_length() throws Exception {
        String answer =
                UpstreamStandIn.answer("no-length", OK, "a body")
                        .replace("Content-Length: 6\r\n", "");
        upstream.setScript(
                (request, connection) -> {
                    answerTwice(answer, connection);
                    connection.close();
                });

        // when, then
        assertWithMessage("status").that(sendRequest("no-length").status()).isEqualTo(BAD_GATEWAY);
    }

    /** Guards against a cut chunk that ends with the head of the next answer. */
    @Test
    void should_not_complete_a_cut_chunk_with_the_head_of_a_second_answer() throws Exception {
        String end = "\r\n0\r\n\r\n";
        String head =
                UpstreamStandIn.answer("chunk", OK, "")
                        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        String whole = head + "c8\r\n" + "a".repeat(200) + end;
        for (int missing = head.length() - 4; missing <= head.length(); missing++) {
            String cut = whole.substring(0, whole.length() - end.length() - missing);
            upstream.setScript(
                    (request, connection) -> {
                        connection.send(cut + whole);
                        connection.awaitClose(100);
                        connection.close();
                    });

            // when, then
            assertWithMessage("status with %s bytes missing", missing)
                    .that(sendRequest("chunk").status())
                    .isEqualTo(BAD_GATEWAY);
        }
    }

    /** Guards against a body into which an earlier answer was written. */
    @Test
    void should_not_forward_a_body_that_is_interrupted_by_a_second_answer() throws Exception {
        String former = UpstreamStandIn.answer("former", OK, "the former body");
        upstream.setScript(
                (request, connection) -> {
                    String whole = UpstreamStandIn.answer(request.id(), OK, "a".repeat(1000));
                    int seam = whole.length() - 500;
                    connection.send(whole.substring(0, seam));
                    connection.send(former + whole.substring(seam));
                });

        // when, then
        assertWithMessage("status")
                .that(sendRequest("interrupted").status())
                .isEqualTo(BAD_GATEWAY);
    }

    @Test
    void should_forward_a_body_that_quotes_a_status_line() throws Exception {
        String body = "The server sent HTTP/1.1 200 OK and some headers.";
        upstream.setScript(
                (request, connection) ->
                        answerTwice(UpstreamStandIn.answer(request.id(), OK, body), connection));

        // when, then
        assertWithMessage("body").that(sendRequest("quotes").body()).isEqualTo(body);
    }

    @Test
    void should_forward_a_body_that_is_followed_by_bytes_of_no_answer() throws Exception {
        upstream.setScript(
                (request, connection) ->
                        connection.send(
                                UpstreamStandIn.answer(request.id(), OK, "whole") + "\u0001 rest"));

        // when, then
        assertWithMessage("body").that(sendRequest("followed").body()).isEqualTo("whole");
    }

    /** A length in as many digits as that of the longest answer. */
    private static String padded(int length) {
        return String.format("%04d", length);
    }

    private static void answerTwice(String answer, UpstreamStandIn.Connection connection)
            throws IOException, InterruptedException {
        connection.send(answer);
        Thread.sleep(30);
        connection.send(answer);
    }

    /** Sends a request that is not sent to a second upstream. */
    private RawCaller.Answer sendRequest(String id) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.post("/order/1", id, "body"));
        }
    }
}
