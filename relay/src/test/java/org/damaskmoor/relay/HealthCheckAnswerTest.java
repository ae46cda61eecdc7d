package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Second answers on connections that carry both calls and health checks. */
class HealthCheckAnswerTest {
    /** Time after which the last reading is stale, so that the next call waits for a check. */
    private static final long STALE_MILLISECONDS = 50;

    private static final int REQUESTS = 6;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        upstream.setScript((request, connection) -> connection.send(answer(request.id(), "")));
        relay = fleet.relay("one", upstream);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    /** Guards against a request limit that is read from a second answer to a call. */
    @Test
    void should_not_take_a_second_answer_to_a_call_for_the_answer_to_a_health_check()
            throws Exception {
        // given
        AtomicReference<String> second = new AtomicReference<>("");
        upstream.setScript(
                (request, connection) -> {
                    connection.send(answer(request.id(), ""));
                    second.set(answer(request.id(), "Instance-Id: i-1\r\nServer-Limit: 700\r\n"));
                });
        upstream.setHealthScript(
                connection ->
                        connection.send(second.get() + healthAnswer("Server-Limit: 900\r\n")));

        // when
        sendRequestsWithChecks();

        // then
        assertThat(relay.log()).contains("limit=900.0 leaving=false source=HEALTH_CHECK");
        assertThat(relay.log()).doesNotContain("limit=700.0");
    }

    @Test
    void should_not_take_a_second_answer_to_a_health_check_for_the_answer_to_a_call()
            throws Exception {
        // given
        AtomicInteger checks = new AtomicInteger();
        upstream.setHealthScript(
                connection -> {
                    checks.incrementAndGet();
                    connection.send(healthAnswer(""));
                });
        upstream.setScript(
                (request, connection) -> {
                    connection.send(healthAnswer(""));
                    Thread.sleep(5);
                    connection.send(answer(request.id(), ""));
                });

        // when
        sendRequestsWithChecks();

        // then
        assertThat(checks.get()).isAtLeast(REQUESTS - 1);
        assertThat(relay.log()).contains("event=answer-skipped");
    }

    @Test
    void should_not_use_the_connection_of_a_check_for_a_call_when_a_second_answer_came()
            throws Exception {
        // given
        upstream.setHealthScript(
                connection -> connection.send(healthAnswer("") + healthAnswer("")));

        // when
        sendRequestsWithChecks();

        // then
        assertThat(relay.log()).contains("event=bytes-unexpected");
    }

    @Test
    void should_close_the_connection_of_a_check_that_is_answered_too_late() throws Exception {
        // given
        CountDownLatch closed = new CountDownLatch(1);
        upstream.setHealthScript(
                connection -> {
                    connection.awaitClose(1000);
                    closed.countDown();
                });

        // when
        sendRequestsWithChecks();

        // then
        assertThat(closed.await(500, TimeUnit.MILLISECONDS)).isTrue();
    }

    /** Sends requests each of which gets its own answer, mostly after a health check. */
    private void sendRequestsWithChecks() throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(sendRequest("r" + i).isOwn("r" + i)).isTrue();
            Thread.sleep(STALE_MILLISECONDS);
        }
    }

    /** Bears a load, because only the speed of a VM that was read before is checked again. */
    private static String answer(String id, String moreHeaders) {
        return UpstreamStandIn.answer(
                id, 200, UpstreamStandIn.body(id), "Server-Load: 0,0,9,100\r\n" + moreHeaders);
    }

    private static String healthAnswer(String moreHeaders) {
        return "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 0,0,9,100\r\n"
                + moreHeaders
                + "Content-Length: 0\r\n\r\n";
    }

    /** Sends a request that is not sent to a second upstream. */
    private RawCaller.Answer sendRequest(String id) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.post("/order/1", id, "body"));
        }
    }
}
