package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers, refusals and faults of an upstream, and what callers get for them. */
class UpstreamProtocolTest {
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

    @Test
    void should_forward_status_body_and_headers_of_a_complete_answer() throws Exception {
        // when
        RawCaller.Answer answer = sendRequest(RawCaller.get("/read/1?x=%20y", "r1"));

        // then
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("answer to r1");
        assertThat(answer.headers().get("server-stamp")).isEqualTo("proof-r1");
        assertThat(answer.headers().get("request-id")).isEqualTo("r1");
        UpstreamStandIn.Request request = upstream.requests().get(0);
        assertThat(request.line()).isEqualTo("GET /read/1?x=%20y HTTP/1.1");
        assertThat(request.headers().get("caller-service")).isEqualTo("books");
        assertThat(request.headers().get("expect-instance")).isEqualTo("i-1");
        assertThat(Integer.parseInt(request.headers().get("deadline-ms"))).isAtMost(2000);
    }

    @Test
    void should_skip_a_duplicate_answer_sent_together_with_the_first() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    String answer = UpstreamStandIn.answer(request.id(), 200, "of " + request.id());
                    connection.send(answer + answer);
                });

        // when, then
        for (int i = 0; i < 5; i++) {
            assertThat(sendRequest(RawCaller.get("/read/1", "r" + i)).body()).isEqualTo("of r" + i);
        }
    }

    @Test
    void should_skip_a_duplicate_answer_sent_before_the_next_request() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    String answer = UpstreamStandIn.answer(request.id(), 200, "of " + request.id());
                    connection.send(answer);
                    Thread.sleep(30);
                    connection.send(answer);
                });

        // when, then
        for (int i = 0; i < 10; i++) {
            assertThat(sendRequest(RawCaller.get("/read/1", "r" + i)).body()).isEqualTo("of r" + i);
            Thread.sleep(10L * (i % 5));
        }
    }

    @Test
    void should_skip_interim_answers() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send("HTTP/1.1 100 Continue\r\n\r\n");
                    connection.send("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).body())
                .isEqualTo("answer to r1");
    }

    @Test
    void should_not_forward_a_truncated_answer() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nRequest-Id: "
                                    + request.id()
                                    + "\r\nContent-Length: 100\r\n\r\nhalf");
                    connection.close();
                });

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).status()).isEqualTo(502);
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    @Test
    void should_forward_an_answer_without_length_that_ends_with_its_connection() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\n\r\nall of it");
                    connection.close();
                });

        // when, then
        assertThat(sendRequest(RawCaller.get("/read/1", "r1")).body()).isEqualTo("all of it");
    }

    @Test
    void should_not_forward_an_answer_without_length_whose_connection_was_reset() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\n\r\nhalf");
                    Thread.sleep(50);
                    connection.reset();
                });

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).status()).isEqualTo(502);
    }

    @Test
    void should_not_forward_bytes_that_are_not_http() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send("\u0001\u0002 nonsense\r\n\r\n");
                    connection.close();
                });

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).status()).isEqualTo(502);
    }

    @Test
    void should_report_not_run_when_the_upstream_does() throws Exception {
        // given
        upstream.setScript(
                (request, connection) ->
                        connection.send(
                                "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: "
                                        + request.id()
                                        + "\r\nContent-Length: 0\r\n\r\n"));

        // when
        RawCaller.Answer answer = sendRequest(RawCaller.post("/order/1", "r1", "body"));

        // then
        assertThat(answer.status()).isEqualTo(503);
        assertThat(Double.parseDouble(answer.headers().get("retry-after"))).isGreaterThan(0.0);
    }

    @Test
    void should_skip_a_late_refusal_of_another_request() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send(
                            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: former\r\n"
                                    + "Content-Length: 0\r\n\r\n");
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).status()).isEqualTo(200);
    }

    /** Guards against requests that are said not to have run, or run again, although they ran. */
    @Test
    void should_not_take_a_late_copy_of_a_refusal_without_id_for_the_next_answer()
            throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    if (request.id().startsWith("refused")) {
                        UpstreamStandIn.answerNotRun(connection);
                        Thread.sleep(30);
                        UpstreamStandIn.answerNotRun(connection);
                    } else {
                        Thread.sleep(60);
                        UpstreamStandIn.answerOk(request, connection);
                    }
                });

        // when, then
        for (int i = 0; i < 5; i++) {
            String refused = "refused-" + i;
            assertThat(sendRequest(RawCaller.post("/order/1", refused, "body")).status())
                    .isEqualTo(503);
            RawCaller.Answer answer = sendRequest(RawCaller.post("/order/2", "run-" + i, "body"));
            assertThat(answer.isOwn("run-" + i)).isTrue();
            assertThat(upstream.runCount("run-" + i)).isEqualTo(1);
        }
    }

    /** Guards against an answer without an id that is taken because it says that nothing ran. */
    @Test
    void should_skip_an_answer_without_id_that_says_not_run_with_the_status_of_a_success()
            throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nNot-Executed: true\r\nContent-Length: 0\r\n\r\n");
                    connection.send(UpstreamStandIn.answer(request.id(), 500, "own"));
                });

        // when
        RawCaller.Answer answer = sendRequest(RawCaller.post("/order/1", "r1", "body"));

        // then
        assertThat(answer.status()).isEqualTo(500);
        assertThat(answer.body()).isEqualTo("own");
    }

    @Test
    void should_answer_at_the_timeout_of_the_route_when_the_upstream_does_not_answer()
            throws Exception {
        // given
        upstream.setScript((request, connection) -> Thread.sleep(10_000));
        long started = System.nanoTime();

        // when
        RawCaller.Answer answer = sendRequest(RawCaller.get("/read/1", "r1"));

        // then
        long tookMilliseconds = (System.nanoTime() - started) / 1_000_000;
        assertThat(answer.status()).isEqualTo(504);
        assertThat(tookMilliseconds).isAtLeast(1900L);
        assertThat(tookMilliseconds).isAtMost(2500L);
    }

    @Test
    void should_run_a_non_idempotent_request_once_when_its_answer_is_lost() throws Exception {
        // given
        upstream.setScript((request, connection) -> connection.reset());

        // when
        RawCaller.Answer answer = sendRequest(RawCaller.post("/order/1", "r1", "body"));

        // then
        assertThat(answer.status()).isEqualTo(502);
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    @Test
    void should_refuse_when_another_upstream_has_the_address() throws Exception {
        // given
        upstream.setScript(
                (request, connection) ->
                        connection.send(
                                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-2\r\n"
                                        + "Content-Length: 0\r\n\r\n"));

        // when, then
        assertThat(sendRequest(RawCaller.post("/order/1", "r1", "body")).status()).isEqualTo(503);
    }

    @Test
    void should_abandon_the_call_when_the_caller_disconnects() throws Exception {
        // given
        java.util.concurrent.CountDownLatch dropped = new java.util.concurrent.CountDownLatch(1);
        upstream.setScript(
                (request, connection) -> {
                    if (connection.socket().getInputStream().read() < 0) {
                        dropped.countDown();
                    }
                });

        // when
        try (RawCaller caller = relay.caller()) {
            caller.send(RawCaller.get("/read/1", "r1"));
            TestFleet.await(() -> upstream.runCount("r1") == 1);
        }

        // then
        assertThat(dropped.await(1, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void should_start_no_call_while_the_vm_is_briefly_slow() throws Exception {
        // given
        sendRequest(RawCaller.get("/read/1", "first"));
        upstream.setLoad("0,0,9,100");
        sendRequest(RawCaller.get("/read/1", "second"));
        upstream.setLoad("0,0,9,500");
        Thread.sleep(50);

        // when
        try (RawCaller caller = relay.caller()) {
            caller.send(RawCaller.get("/read/1", "held"));
            Thread.sleep(100);
            long startedWhileSlow = upstream.runCount("held");
            upstream.setLoad("0,0,9,100");
            RawCaller.Answer answer = caller.readAnswer();

            // then
            assertThat(startedWhileSlow).isEqualTo(0);
            assertThat(answer.status()).isEqualTo(200);
        }
    }

    private RawCaller.Answer sendRequest(String request) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(request);
        }
    }
}
