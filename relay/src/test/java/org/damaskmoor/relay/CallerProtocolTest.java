package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of callers, valid and invalid, and the replies to them. */
class CallerProtocolTest {
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
    void should_answer_pipelined_requests_in_order() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(request.id().equals("r1") ? 100 : 0);
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when
        try (RawCaller caller = relay.caller()) {
            caller.send(RawCaller.get("/read/1", "r1") + RawCaller.get("/read/2", "r2"));

            // then
            assertThat(caller.readAnswer().body()).isEqualTo("answer to r1");
            assertThat(caller.readAnswer().body()).isEqualTo("answer to r2");
        }
    }

    @Test
    void should_answer_pipelined_requests_in_order_when_some_are_answered_at_once()
            throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(request.id().length() % 3);
                    UpstreamStandIn.answerOk(request, connection);
                });
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            String path = i % 3 == 0 ? "/nowhere/1" : "/read/1";
            requests.append(RawCaller.get(path, "r" + i));
        }

        // when
        try (RawCaller caller = relay.caller()) {
            caller.send(requests.toString());

            // then
            for (int i = 0; i < 60; i++) {
                RawCaller.Answer answer = caller.readAnswer();
                assertThat(answer.headers().get("request-id")).isEqualTo("r" + i);
                assertThat(answer.status()).isEqualTo(i % 3 == 0 ? 404 : 200);
                assertThat(answer.isOwn("r" + i)).isEqualTo(i % 3 != 0);
            }
        }
    }

    @Test
    void should_not_give_a_reply_to_the_next_caller_when_its_caller_has_left() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(request.id().startsWith("left") ? 100 : 0);
                    UpstreamStandIn.answerOk(request, connection);
                });

        for (int i = 0; i < 5; i++) {
            String left = "left-" + i;
            String next = "next-" + i;
            try (RawCaller caller = relay.caller()) {
                caller.send(RawCaller.post("/order/1", left, "body"));
                TestFleet.await(() -> upstream.runCount(left) == 1);
            }

            // when
            try (RawCaller caller = relay.caller()) {
                RawCaller.Answer first = caller.exchange(RawCaller.post("/order/1", next, "body"));
                Thread.sleep(150);
                RawCaller.Answer second = caller.exchange(RawCaller.get("/read/1", next + "b"));

                // then
                assertThat(first.isOwn(next)).isTrue();
                assertThat(second.isOwn(next + "b")).isTrue();
            }
        }
    }

    @Test
    void should_forward_a_complete_chunked_body() throws Exception {
        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer answer =
                    caller.exchange(
                            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + "4\r\nhalf\r\n5\r\n more\r\n0\r\n\r\n");

            // then
            assertThat(answer.status()).isEqualTo(200);
            assertThat(upstream.requests().get(0).body()).isEqualTo("half more");
        }
    }

    @Test
    void should_send_100_continue_when_the_caller_expects_it() throws Exception {
        // when
        try (RawCaller caller = relay.caller()) {
            RawCaller.Answer interim =
                    caller.exchange(
                            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                                    + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            RawCaller.Answer answer = caller.exchange("body");

            // then
            assertThat(interim.status()).isEqualTo(100);
            assertThat(answer.status()).isEqualTo(200);
            assertThat(upstream.requests().get(0).body()).isEqualTo("body");
        }
    }

    @Test
    void should_not_forward_headers_that_only_nodes_may_set() throws Exception {
        // when
        try (RawCaller caller = relay.caller()) {
            caller.exchange(
                    "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                            + "Caller-Service: forged\r\nExpect-Instance: forged\r\n"
                            + "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
        }

        // then
        UpstreamStandIn.Request request = upstream.requests().get(0);
        assertThat(request.headers().get("caller-service")).isEqualTo("books");
        assertThat(request.headers().get("expect-instance")).isEqualTo("i-1");
        assertThat(request.headers()).doesNotContainKey("x-hop");
        assertThat(request.headers().get("x-end")).isEqualTo("2");
    }

    @Test
    void should_refuse_malformed_requests_and_close() throws Exception {
        assertRefused("GET / HTTP/1.1\r\nHost shop\r\n\r\n", 400);
        assertRefused("GET /read/1 HTTP/1.1\r\nX: " + "x".repeat(5000) + "\r\n\r\n", 431);
        assertRefused(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\n"
                        + "Content-Length: 100001\r\n\r\n",
                413);
        assertRefused(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                400);
        assertThat(upstream.requests()).isEmpty();
    }

    @Test
    void should_answer_404_when_no_route_matches() throws Exception {
        // when
        try (RawCaller caller = relay.caller()) {
            // then
            assertThat(caller.exchange(RawCaller.get("/nowhere/1", "r1")).status()).isEqualTo(404);
            assertThat(caller.exchange(RawCaller.get("/read/1", "r2")).status()).isEqualTo(200);
        }
    }

    @Test
    void should_log_a_request_with_its_id() throws Exception {
        // when
        try (RawCaller caller = relay.caller()) {
            caller.exchange(RawCaller.get("/read/1", "to-be-found"));
        }

        // then
        TestFleet.await(() -> relay.log().contains("event=request-ended request=to-be-found"));
        TestFleet.await(() -> relay.log().contains("event=call-answered request=to-be-found"));
    }

    private void assertRefused(String request, int status) throws Exception {
        try (RawCaller caller = relay.caller()) {
            assertThat(caller.exchange(request).status()).isEqualTo(status);
            assertThat(caller.isClosed()).isTrue();
        }
    }
}
