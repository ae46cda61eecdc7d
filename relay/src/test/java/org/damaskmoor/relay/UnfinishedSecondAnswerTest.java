package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Second answers of which an upstream sends only a part, cut at each byte, before the answer to the
 * next request.
 */
class UnfinishedSecondAnswerTest {
    /** Time that a connection on which a part of an answer arrived may stay open. */
    private static final int CLOSE_TIMEOUT_MILLISECONDS = 500;

    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int BAD_GATEWAY = 502;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        upstream.setHealthScript(UnfinishedSecondAnswerTest::answerWithoutLoad);
        relay = fleet.relay("one", upstream);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    /** Guards against a failure that reaches its caller with the status of an earlier answer. */
    @Test
    void should_forward_a_failure_as_it_is_when_a_part_of_a_second_answer_came_with_the_first()
            throws Exception {
        for (int length = 1; length < answer("ok-000", OK).length(); length++) {
            String ok = id("ok", length);
            String part = answer(ok, OK).substring(0, length);
            upstream.setScript(
                    (request, connection) -> {
                        if (request.id().equals(ok)) {
                            connection.send(answer(ok, OK) + part);
                        } else {
                            answerFailure(request, connection);
                        }
                    });

            // when
            sendRequest(ok);
            RawCaller.Answer answer = sendRequest(id("no", length));

            // then
            assertWithMessage("after %s", part).that(answer.status()).isEqualTo(FAILURE);
        }
    }

    /** Guards against a failure that reaches its caller with the status of an earlier answer. */
    @Test
    void should_forward_a_failure_as_it_is_when_a_part_of_a_second_answer_came_between_two_calls()
            throws Exception {
        for (int length = 1; length < answer("ok-000", OK).length(); length++) {
            String ok = id("ok", length);
            String part = answer(ok, OK).substring(0, length);
            CountDownLatch partSent = new CountDownLatch(1);
            upstream.setScript(
                    (request, connection) -> {
                        if (request.id().equals(ok)) {
                            connection.send(answer(ok, OK));
                            Thread.sleep(5);
                            connection.send(part);
                            connection.awaitClose(CLOSE_TIMEOUT_MILLISECONDS);
                            partSent.countDown();
                        } else {
                            answerFailure(request, connection);
                        }
                    });

            // when
            sendRequest(ok);
            partSent.await();
            RawCaller.Answer answer = sendRequest(id("no", length));

            // then
            assertWithMessage("after %s", part).that(answer.status()).isEqualTo(FAILURE);
        }
    }

    /** Guards against a failure that reaches its caller with the status of an earlier answer. */
    @Test
    void should_not_forward_a_failure_as_success_when_a_part_of_a_second_answer_came_before_it()
            throws Exception {
        AtomicReference<String> part = new AtomicReference<>();
        upstream.setScript(
                (request, connection) -> {
                    if (request.id().startsWith("ok")) {
                        connection.send(answer(request.id(), OK));
                    } else {
                        connection.send(part.get());
                        answerFailure(request, connection);
                        connection.close();
                    }
                });
        for (int length = 1; length < answer("ok-000", OK).length(); length++) {
            String ok = id("ok", length);
            part.set(answer(ok, OK).substring(0, length));

            // when
            sendRequest(ok);
            RawCaller.Answer answer = sendRequest(id("no", length));

            // then
            assertWithMessage("after %s", part).that(answer.status()).isEqualTo(BAD_GATEWAY);
            assertWithMessage("after %s", part)
                    .that(answer.headers())
                    .doesNotContainKey("server-stamp");
        }
    }

    /** Prevents further health checks, which would use the connection between the calls. */
    private static void answerWithoutLoad(Connection connection) throws IOException {
        connection.send("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
    }

    private static String id(String prefix, int number) {
        return String.format("%s-%03d", prefix, number);
    }

    private static void answerFailure(UpstreamStandIn.Request request, Connection connection)
            throws IOException {
        connection.send(answer(request.id(), FAILURE));
    }

    private static String answer(String id, int status) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nContent-Type: text/plain\r\nRequest-Id: "
                + id
                + "\r\nServer-Stamp: proof-"
                + id
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    /** Sends a request that is not sent to a second upstream. */
    private RawCaller.Answer sendRequest(String id) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.post("/order/1", id, "body"));
        }
    }
}
